"""Partitioning, coverage and merging of queries over many shards.

The public names are declared in `__init__.pyi` and imported on first use.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
