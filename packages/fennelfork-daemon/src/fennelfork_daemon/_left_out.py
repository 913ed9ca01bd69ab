"""Keeps libraries from loading what this program never runs."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType


@contextmanager
def left_out(name: str, stand_in: ModuleType | None = None) -> Iterator[None]:
    """Have imports within the block find no module, or another one.

    What was loaded before, and what is imported afterwards, is not touched.

    Args:
        name: of the module that is not to be loaded.
        stand_in: found in its place; if none, importing it fails, which a
            library has to allow for.
    """
    loaded = sys.modules.get(name)
    sys.modules[name] = stand_in  # type: ignore[assignment]
    try:
        yield
    finally:
        sys.modules.pop(name)
        if loaded is not None:
            sys.modules[name] = loaded


@contextmanager
def asyncio_left_out() -> Iterator[None]:
    """Leave asyncio out: 4.6 MB that eventlet and structlog import at once.

    Both use it only in a hub and in methods that this program does not use.
    """
    loaded = sys.modules.get('asyncio')
    with left_out('asyncio', loaded or ModuleType('asyncio')):
        yield
