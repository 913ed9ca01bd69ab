"""At-most-once execution of non-idempotent requests, with reliable verdicts.

`__init__.pyi` lists the public names; each is loaded on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
