"""Removals in merge patches; TOML has no null to express removals."""

import copy
from typing import Any


def add_removals(
    patch: dict[str, Any],
    paths: tuple[str, ...],
) -> dict[str, Any]:
    """Add removals to a merge patch.

    Args:
        patch: merge patch, which is not modified.
        paths: paths to remove, keys joined by dots.

    Returns:
        Copy of `patch` that also removes `paths`.
    """
    extended = copy.deepcopy(patch)
    for path in paths:
        *parents, last = path.split('.')
        table = extended
        for key in parents:
            table = table.setdefault(key, {})
        table[last] = None
    return extended
