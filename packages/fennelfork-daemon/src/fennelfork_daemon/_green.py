"""Monkey patching by eventlet; must be the first import of the process.

The deprecation warning that eventlet emits on import is suppressed, because
the project uses eventlet on purpose (docs/STYLE.md).

The cooperative DNS resolver of eventlet is disabled: all addresses are IP
addresses, and the resolver library would only use memory.
"""

import os
import warnings

os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

from fennelfork_daemon._blocked_imports import (  # noqa: E402  # after the warning filter
    block_asyncio,
)

with block_asyncio():
    import eventlet

from fennelfork_daemon import _event_loop  # noqa: E402  # imports eventlet

# `thread` is not patched: the daemon has no threads, and replacing all locks
# takes 50 ms of each start. `os` is not patched: a cooperative `os.write` would
# block until the reader of the log reads.
eventlet.monkey_patch(socket=True, select=True, time=True)
eventlet.hubs.use_hub(_event_loop)
