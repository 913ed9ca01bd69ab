"""Strict reading of HTTP responses by RFC 9112.

The public names are listed in `__init__.pyi` and are loaded on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
