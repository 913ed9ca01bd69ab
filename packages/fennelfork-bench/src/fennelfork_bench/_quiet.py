"""Filter of the deprecation warning of eventlet.

The package imports this module before any of its modules imports eventlet.
docs/STYLE.md explains the use of eventlet.
"""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')
