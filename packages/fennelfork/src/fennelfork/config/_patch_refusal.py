"""Why a patch is refused, in words that help its author."""

from collections.abc import Iterable

from fennelfork._verdict import (
    Failure,
    FailureCode,
    Verdict,
    may_have_run,
    not_run,
)
from fennelfork.config._document import Document, PatchRecord
from fennelfork.config._document_problem import Problem
from fennelfork.config._merge_patch import Change
from fennelfork.config._patch import PatchRefused, PatchRequest
from fennelfork.config._patch_history import records_since


def refuse_unreadable(problems: tuple[Problem, ...]) -> PatchRefused:
    """Refuse, because the platform holds no valid document."""
    detail = (
        'the platform holds a document that this daemon cannot read; '
        'nothing was written'
    )
    return PatchRefused(
        failure=not_run(FailureCode.PLATFORM, detail),
        problems=problems,
    )


def refuse_stale(document: Document, min_version: int) -> PatchRefused:
    """Refuse, because the platform shows less than what is known.

    Args:
        document: what the platform shows.
        known: the highest version known to the daemon or named as base.
    """
    detail = (
        f'the platform shows version {document.version}, yet version {min_version} '
        'was accepted before; nothing was written. If the platform lost the '
        'document, restore the one from GET /v1/config first'
    )
    return PatchRefused(
        failure=not_run(FailureCode.PLATFORM, detail),
        active_version=document.version,
    )


def refuse_duplicate(patch_id: str, earlier: PatchRecord) -> PatchRefused:
    """Refuse, because the patch id belongs to another accepted patch."""
    detail = (
        f'patch id {patch_id} took effect as version {earlier.version}, sent '
        f'by {earlier.author}; a new patch needs a new id'
    )
    failure = Failure(
        code=FailureCode.DUPLICATE,
        verdict=Verdict.RAN,
        detail=detail,
    )
    return PatchRefused(failure=failure, active_version=earlier.version)


def refuse_conflict(
    request: PatchRequest,
    document: Document,
    changes: tuple[Change, ...],
) -> PatchRefused:
    """Tell the loser of a race what is in force and what it would change.

    Args:
        request: the losing patch.
        document: the document in force.
        changes: what the patch would change in it.
    """
    detail = (
        f'version {document.version} is in force, the patch was made for '
        f'version {request.base}; look at the changes and send it again with '
        f'base {document.version} and a new patch id'
    )
    return PatchRefused(
        failure=not_run(FailureCode.CONFLICT, detail),
        active_version=document.version,
        newer_patches=records_since(document, request.base),
        changes=changes,
    )


def refuse_invalid(
    problems: Iterable[Problem], document: Document
) -> PatchRefused:
    """Refuse, because the document that the patch would make is not valid."""
    found = tuple(problems)
    return PatchRefused(
        failure=not_run(
            FailureCode.BAD_REQUEST,
            f'the patch would make a document with {len(found)} fault(s)',
        ),
        active_version=document.version,
        problems=found,
    )


def refuse_unchanged(document: Document) -> PatchRefused:
    """Refuse, because the patch changes nothing."""
    detail = f'version {document.version} already says what the patch says'
    return PatchRefused(
        failure=not_run(FailureCode.BAD_REQUEST, detail),
        active_version=document.version,
    )


def refuse_unavailable(detail: str, retry_after_ms: int | None) -> PatchRefused:
    """Refuse, because the platform cannot be asked; nothing was sent."""
    failure = not_run(FailureCode.PLATFORM, detail, retry_after_ms)
    return PatchRefused(failure=failure)


def refuse_unknown_outcome(patch_id: str) -> PatchRefused:
    """Say that a write was sent and its outcome could not be read back."""
    detail = (
        'the write was sent and the platform did not say whether it took '
        f'effect; send the same patch again under id {patch_id} to learn it'
    )
    return PatchRefused(failure=may_have_run(FailureCode.PLATFORM, detail))
