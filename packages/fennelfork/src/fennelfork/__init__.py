"""Decision logic of the fennelfork query tier, free of input and output.

The public names are listed in `__init__.pyi`. Each name is imported on first
use, so that a daemon loads only the modules that it needs.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
