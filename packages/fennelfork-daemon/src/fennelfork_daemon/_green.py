"""Cooperative sockets for the whole process; imported before all else.

eventlet announces its own deprecation when it is imported. The users ask for
eventlet (docs/STYLE.md), so that one warning is quieted and no other.
"""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402  # after the filter above, which it needs

eventlet.monkey_patch()
