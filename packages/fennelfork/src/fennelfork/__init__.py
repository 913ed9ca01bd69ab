"""Decisions of the fennelfork query tier, without input or output.

The public names stand in `__init__.pyi`. Each is loaded when it is first
used, so that a daemon holds in memory only the decisions that it takes: all of
them take 5 MB.
"""

import lazy_loader

__getattr__, __dir__, _names = lazy_loader.attach_stub(__name__, __file__)
