"""Parsing, validation and patching of the configuration document.

`__init__.pyi` lists the public names; each is imported on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
