"""The typed messages and calls between daemons, from `peer.thrift`."""

from importlib import resources

import thriftpy2

_IDL = resources.files('fennelfork_daemon') / 'peer.thrift'

# thriftpy2 builds the classes when it reads the file.
peer = thriftpy2.load(str(_IDL), module_name='fennelfork_peer_thrift')
