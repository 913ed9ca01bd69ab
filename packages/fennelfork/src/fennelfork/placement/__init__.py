"""Assignment of home daemons and of readers of the configuration.

`__init__.pyi` lists the public names; each is imported on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
