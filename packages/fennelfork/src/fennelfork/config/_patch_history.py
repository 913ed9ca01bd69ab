"""The bounded history of patches in the configuration document."""

from collections.abc import Iterable
from typing import Final

from fennelfork.config._document import Document, PatchRecord
from fennelfork.config._merge_patch import Change

_MAX_RECORDS: Final = 256
_MAX_PATHS: Final = 8
_MAX_PATH_CHARACTERS: Final = 400


def append_record(
    records: tuple[PatchRecord, ...],
    record: PatchRecord,
) -> tuple[PatchRecord, ...]:
    """Append a patch record to the history and drop records over the limit."""
    return (*records, record)[-_MAX_RECORDS:]


def record_of_patch(document: Document, patch_id: str) -> PatchRecord | None:
    """Return the record of a patch, or none if the history lacks it."""
    for record in document.patches:
        if record.id == patch_id:
            return record
    return None


def record_of_version(document: Document, version: int) -> PatchRecord | None:
    """Return the record of a version, or none if the history lacks it."""
    for record in document.patches:
        if record.version == version:
            return record
    return None


def records_since(document: Document, base: int) -> tuple[PatchRecord, ...]:
    """Return the records of versions above `base`, oldest first."""
    return tuple(record for record in document.patches if record.version > base)


def summarize_paths(changes: Iterable[Change]) -> tuple[str, ...]:
    """Return a bounded list of paths that a patch changed.

    Args:
        changes: changed leaves.

    Returns:
        The paths of the leaves; if the limits are exceeded, the truncated
        paths of the enclosing objects.
    """
    paths = {change.path for change in changes}
    depth = max((path.count('.') for path in paths), default=0)
    while depth and _exceeds_limits(paths):
        paths = {_truncate_path(path, depth) for path in paths}
        depth -= 1
    return tuple(sorted(paths))


def _exceeds_limits(paths: set[str]) -> bool:
    characters = sum(map(len, paths))
    return len(paths) > _MAX_PATHS or characters > _MAX_PATH_CHARACTERS


def _truncate_path(path: str, depth: int) -> str:
    return '.'.join(path.split('.')[:depth])
