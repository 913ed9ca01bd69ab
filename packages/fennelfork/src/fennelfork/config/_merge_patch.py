"""JSON merge patches (RFC 7396) and the differences between two trees."""

from collections.abc import Iterator
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Change:
    """One leaf that differs between two trees.

    Attributes:
        path: its keys joined by dots.
        before: its value in the first tree; none if absent.
        after: its value in the second tree; none if absent.
    """

    path: str
    before: Any
    after: Any


def merge_patch(target: Any, patch: Any) -> Any:
    """Apply a merge patch; neither argument is altered.

    Args:
        target: the JSON tree to change.
        patch: tables merge key by key, null removes, all else replaces.

    Returns:
        The changed tree.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, part in patch.items():
        if part is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), part)
    return merged


def tree_changes(before: Any, after: Any) -> tuple[Change, ...]:
    """Find the leaves in which two JSON trees differ.

    Args:
        before: the first tree.
        after: the second tree.

    Returns:
        The changes, sorted by path; a whole table that came or went is given
        leaf by leaf. Null and absent count as the same, as in a merge patch.
    """
    found = _changes(before, after, ())
    return tuple(sorted(found, key=lambda change: change.path))


def _changes(
    before: Any,
    after: Any,
    path: tuple[str, ...],
) -> Iterator[Change]:
    if before == after:
        return
    old = before if isinstance(before, dict) else {}
    new = after if isinstance(after, dict) else {}
    keys = old.keys() | new.keys()
    is_leaf = _is_leaf_value(before) or _is_leaf_value(after)
    if is_leaf or not keys:
        yield Change(path='.'.join(path), before=before, after=after)
    for key in keys:
        inner = (*path, key)
        yield from _changes(old.get(key), new.get(key), inner)


def _is_leaf_value(tree: Any) -> bool:
    return tree is not None and not isinstance(tree, dict)
