"""Routes: requests are forwarded to services that register themselves.

The public names are listed in `__init__.pyi` and loaded on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
