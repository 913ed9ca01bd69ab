"""JSON merge patches (RFC 7396) and differences between JSON trees."""

from collections.abc import Iterator
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Change:
    """A leaf that differs between two JSON trees.

    Attributes:
        path: keys of the leaf joined by dots.
        before: value in the first tree; none if absent.
        after: value in the second tree; none if absent.
    """

    path: str
    before: Any
    after: Any


def merge_patch(target: Any, patch: Any) -> Any:
    """Apply a merge patch without mutating the arguments.

    Args:
        target: JSON tree to patch.
        patch: merge patch; objects are merged recursively, null removes a
            key, other values replace the target.

    Returns:
        The patched tree.
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
    """Return the leaves that differ between two JSON trees.

    Args:
        before: first tree.
        after: second tree.

    Returns:
        The changes, sorted by path; an added or removed object contributes
        each of its leaves. Null and absent are equal, as in a merge patch.
    """
    changes = _find_changes(before, after, ())
    return tuple(sorted(changes, key=lambda change: change.path))


def _find_changes(
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
        yield from _find_changes(old.get(key), new.get(key), inner)


def _is_leaf_value(tree: Any) -> bool:
    return tree is not None and not isinstance(tree, dict)
