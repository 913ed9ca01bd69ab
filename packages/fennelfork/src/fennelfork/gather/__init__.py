"""One answer out of the replies of many shards.

The public names stand in `__init__.pyi`; each is loaded when first used.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
