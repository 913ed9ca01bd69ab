"""Python classes of the messages and the service in `peer.thrift`."""

from importlib import resources

import thriftpy2

_IDL = resources.files('fennelfork_daemon') / 'peer.thrift'

# thriftpy2 generates the classes when it loads the file.
peer = thriftpy2.load(str(_IDL), module_name='fennelfork_peer_thrift')
