"""Admission and scheduling of sub-queries at the home daemon of a shard.

Home daemon: the daemon that schedules the requests of one shard.

The public names are declared in `__init__.pyi` and imported on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
