"""Builders of refusals of configuration patches."""

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
    """Refuse a patch because the stored document is not valid."""
    detail = (
        'the document in the platform is not valid for this daemon; '
        'nothing was written'
    )
    return PatchRefused(
        failure=not_run(FailureCode.PLATFORM, detail),
        problems=problems,
    )


def refuse_stale(document: Document, min_version: int) -> PatchRefused:
    """Refuse a patch because the stored version is older than a known version.

    Args:
        document: document stored in the platform.
        min_version: highest version known to the daemon or given as base.
    """
    detail = (
        f'the platform holds version {document.version}, but version '
        f'{min_version} was already accepted; nothing was written. If the '
        'platform lost the document, first restore the document from '
        'GET /v1/config'
    )
    return PatchRefused(
        failure=not_run(FailureCode.PLATFORM, detail),
        active_version=document.version,
    )


def refuse_duplicate(patch_id: str, earlier: PatchRecord) -> PatchRefused:
    """Refuse a patch because its identifier belongs to an accepted patch."""
    detail = (
        f'patch id {patch_id!r} already belongs to the patch of '
        f'{earlier.author} that produced version {earlier.version}; a new '
        'patch needs a new id'
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
    """Refuse a patch because its base version is not the active version.

    Args:
        request: request of the operator.
        document: active document.
        changes: changes that the patch would make to the active document.
    """
    detail = (
        f'version {document.version} is active, but the patch is based on '
        f'version {request.base}; review the changes and send the patch '
        f'again with base {document.version} and a new patch id'
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
    """Refuse a patch because the resulting document is not valid."""
    listed_problems = tuple(problems)
    return PatchRefused(
        failure=not_run(
            FailureCode.BAD_REQUEST,
            f'the resulting document has {len(listed_problems)} problem(s)',
        ),
        active_version=document.version,
        problems=listed_problems,
    )


def refuse_unchanged(document: Document) -> PatchRefused:
    """Refuse a patch because the patch changes nothing."""
    detail = f'the patch does not change version {document.version}'
    return PatchRefused(
        failure=not_run(FailureCode.BAD_REQUEST, detail),
        active_version=document.version,
    )


def refuse_unavailable(detail: str, retry_after_ms: int | None) -> PatchRefused:
    """Refuse a patch because the platform is unavailable; nothing was sent."""
    failure = not_run(FailureCode.PLATFORM, detail, retry_after_ms)
    return PatchRefused(failure=failure)


def refuse_unknown_outcome(patch_id: str) -> PatchRefused:
    """Report that the effect of a write is unknown."""
    detail = (
        'the write was sent, but the platform did not confirm whether it '
        f'took effect; send the same patch again with id {patch_id!r} to '
        'get the outcome'
    )
    return PatchRefused(failure=may_have_run(FailureCode.PLATFORM, detail))
