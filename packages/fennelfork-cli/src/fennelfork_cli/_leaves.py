"""Configuration documents as paths with plain values."""

import copy
from collections.abc import Iterator
from typing import Any, Final

import attrs

_ABSENT: Final = None


@attrs.frozen(kw_only=True)
class Difference:
    """One path whose value differs.

    Attributes:
        path: keys joined by dots.
        in_force: the value now, none if there is none.
        patched: the value that the patch asks for, none if it removes it.
    """

    path: str
    in_force: Any
    patched: Any


def patch_differences(
    document: dict[str, Any],
    patch: dict[str, Any],
) -> tuple[Difference, ...]:
    """Find what a merge patch would change in a document.

    Args:
        document: the configuration in force.
        patch: a merge patch (RFC 7396), where none removes.

    Returns:
        One difference a path, in the order of the patch.
    """
    return tuple(_walk(document, patch, ''))


def _walk(found: Any, patch: Any, path: str) -> Iterator[Difference]:
    if not isinstance(patch, dict):
        if found != patch:
            yield Difference(path=path, in_force=found, patched=patch)
        return
    table = found if isinstance(found, dict) else {}
    for key, wanted in patch.items():
        inner = f'{path}.{key}' if path else key
        yield from _walk(table.get(key, _ABSENT), wanted, inner)


def with_removals(
    patch: dict[str, Any],
    paths: tuple[str, ...],
) -> dict[str, Any]:
    """Add removals to a merge patch; TOML itself cannot say "none".

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
