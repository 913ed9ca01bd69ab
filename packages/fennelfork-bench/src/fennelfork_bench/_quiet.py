"""Quiets the deprecation warning of eventlet, and only it.

Importing the package runs this before any module of it imports eventlet; the
reason to use eventlet all the same is in docs/STYLE.md.
"""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')
