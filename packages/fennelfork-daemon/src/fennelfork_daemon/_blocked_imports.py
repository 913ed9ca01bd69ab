"""Blocks imports of optional modules that the daemon does not use."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType


@contextmanager
def block_import(
    name: str, stand_in: ModuleType | None = None
) -> Iterator[None]:
    """Block or replace imports of a module within a `with` block.

    A module that was loaded before the block is restored at the end.

    Args:
        name: name of the module to block.
        stand_in: module to import instead; without a module, the import
            raises `ImportError`, which the importing library must handle.
    """
    loaded = sys.modules.get(name)
    sys.modules[name] = stand_in  # type: ignore[assignment]  # None blocks
    try:
        yield
    finally:
        sys.modules.pop(name)
        if loaded is not None:
            sys.modules[name] = loaded


@contextmanager
def block_asyncio() -> Iterator[None]:
    """Replace asyncio by an empty module, unless asyncio is loaded.

    eventlet and structlog import asyncio eagerly, but need it only in a hub
    and in methods that the daemon does not use.
    """
    loaded = sys.modules.get('asyncio')
    with block_import('asyncio', loaded or ModuleType('asyncio')):
        yield
