"""Removals in merge patches, which TOML itself cannot say."""

import copy
from typing import Any


def with_removals(
    patch: dict[str, Any],
    paths: tuple[str, ...],
) -> dict[str, Any]:
    """Add removals to a merge patch.

    Args:
        patch: a merge patch, which is left as it is.
        paths: what to remove, keys joined by dots.

    Returns:
        A patch that sets what `patch` sets and removes `paths`.
    """
    extended = copy.deepcopy(patch)
    for path in paths:
        *parents, last = path.split('.')
        table = extended
        for key in parents:
            table = table.setdefault(key, {})
        table[last] = None
    return extended
