"""Cooperative sockets for the whole process; imported before all else.

eventlet announces its own deprecation when it is imported. The users ask for
eventlet (docs/STYLE.md), so that one warning is quieted and no other.

Its cooperative resolver of names is left out: every address here is an IP
number, and the resolver's library takes 7 MB of memory.
"""

import os
import warnings

os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

from fennelfork_daemon._left_out import (  # noqa: E402  # after the filter
    asyncio_left_out,
)

with asyncio_left_out():
    import eventlet

# Threads stay as they are: the daemon has none, and to replace every lock there
# is takes 50 ms of each start. So does `os`, whose cooperative write would wait
# for the reader of the log.
eventlet.monkey_patch(socket=True, select=True, time=True)
