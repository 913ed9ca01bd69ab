"""The bounded history of patches inside the configuration document."""

from collections.abc import Iterable
from typing import Final

from fennelfork.config._document import Document, PatchRecord
from fennelfork.config._merge_patch import Change

_MAX_RECORDS: Final = 256
# 256 records of the longest texts need a third of the platform's megabyte.
_MAX_PATHS: Final = 8
_MAX_PATH_CHARACTERS: Final = 400


def append_record(
    records: tuple[PatchRecord, ...],
    record: PatchRecord,
) -> tuple[PatchRecord, ...]:
    """Add a record to a history, and drop the oldest above the bound."""
    return (*records, record)[-_MAX_RECORDS:]


def record_of_patch(document: Document, patch_id: str) -> PatchRecord | None:
    """Find the record of a patch, if the history still holds it."""
    for record in document.patches:
        if record.id == patch_id:
            return record
    return None


def record_of_version(document: Document, version: int) -> PatchRecord | None:
    """Find which patch made a version, if the history still holds it."""
    for record in document.patches:
        if record.version == version:
            return record
    return None


def records_since(document: Document, base: int) -> tuple[PatchRecord, ...]:
    """List the records of versions above `base`, oldest first."""
    return tuple(record for record in document.patches if record.version > base)


def summarize_paths(changes: Iterable[Change]) -> tuple[str, ...]:
    """Name what a patch changed, in a bounded number of paths.

    Args:
        changes: the leaves that differ.

    Returns:
        Their paths; where these are too many, the shortened paths of the
        tables that hold them.
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
