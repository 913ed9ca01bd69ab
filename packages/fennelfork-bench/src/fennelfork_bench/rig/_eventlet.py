"""Monkey patches of eventlet; main modules import this module first.

The deprecation warning that eventlet issues at import is suppressed, because
the project uses eventlet on purpose; see docs/STYLE.md.
"""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402  (needs the warning filter)

eventlet.monkey_patch()
