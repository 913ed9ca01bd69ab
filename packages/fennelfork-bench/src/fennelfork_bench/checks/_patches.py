"""Checks that accepted patches are kept and refused patches have no effect."""

from collections.abc import Iterator

from fennelfork_bench.checks._base import Guarantee, Violation
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History
from fennelfork_bench.history._operator import (
    DocumentRead,
    PatchAccepted,
    PatchRefused,
    PatchSeen,
)


def check_patches(history: History) -> tuple[Violation, ...]:
    """Find lost, duplicated and wrongly refused patches."""
    return (
        *_find_shared_versions(history),
        *_find_repeated(history),
        *(
            violation
            for read in history.of_type(DocumentRead)
            for violation in _find_document_problems(history, read)
        ),
    )


def _find_shared_versions(history: History) -> Iterator[Violation]:
    first: dict[int, PatchAccepted] = {}
    for accepted in history.of_type(PatchAccepted):
        other = first.setdefault(accepted.version, accepted)
        if other.patch_id != accepted.patch_id:
            detail = f'two patches became version {accepted.version}'
            yield _build_violation(detail, (other, accepted))


def _find_repeated(history: History) -> Iterator[Violation]:
    first: dict[str, PatchAccepted] = {}
    for accepted in history.of_type(PatchAccepted):
        other = first.setdefault(accepted.patch_id, accepted)
        if other.version != accepted.version:
            detail = f'patch {accepted.patch_id} has two versions'
            yield _build_violation(detail, (other, accepted))


def _find_document_problems(
    history: History,
    read: DocumentRead,
) -> Iterator[Violation]:
    for accepted in history.of_type(PatchAccepted):
        if accepted.at_ms <= read.at_ms and _is_lost(accepted, read):
            yield _build_violation(
                'an accepted patch is lost', (accepted, read)
            )
    kept = {patch.patch_id for patch in read.patches}
    for refused in history.of_type(PatchRefused):
        if refused.patch_id in kept:
            yield _build_violation('a refused patch is active', (refused, read))
    if len(kept) != len(read.patches):
        yield _build_violation('a patch was applied twice', (read,))


def _is_lost(accepted: PatchAccepted, read: DocumentRead) -> bool:
    if accepted.version > read.version:
        return True
    oldest = min((patch.version for patch in read.patches), default=0)
    if accepted.version < oldest:
        return False
    expected = PatchSeen(
        patch_id=accepted.patch_id,
        version=accepted.version,
    )
    return expected not in read.patches


def _build_violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(
        guarantee=Guarantee.CONFIGURATION,
        detail=detail,
        events=events,
    )
