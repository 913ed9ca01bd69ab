"""Validation of a patch against the stored document.

The functions of this module write nothing. The result is either the outcome
of the patch or the document to write with compare-and-swap.
"""

from typing import Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork.config._document import Document, PatchRecord
from fennelfork.config._document_parse import unstructure_document
from fennelfork.config._document_problem import Problem
from fennelfork.config._merge_patch import Change, merge_patch, tree_changes
from fennelfork.config._parsed_document import (
    ParsedDocument,
    parse_incrementally,
    parsed_document,
    structure_incrementally,
)
from fennelfork.config._patch import (
    PatchAccepted,
    PatchRefused,
    PatchRequest,
    PreparedWrite,
    StoredDocument,
)
from fennelfork.config._patch_history import (
    append_record,
    record_of_patch,
    summarize_paths,
)
from fennelfork.config._patch_refusal import (
    refuse_conflict,
    refuse_duplicate,
    refuse_invalid,
    refuse_stale,
    refuse_unchanged,
    refuse_unreadable,
)

_MAX_DOCUMENT_BYTES: Final = 1_000_000
_MAX_CHANGES: Final = 64
_RESERVED_KEYS: Final = ('patches', 'version')

Decision = Result[PreparedWrite | PatchAccepted, PatchRefused]


@attrs.frozen(kw_only=True)
class PatchContext:
    """State of the daemon and the platform for the decision on a patch.

    Attributes:
        stored: value of the configuration key in the platform.
        known_version: highest version known to this daemon.
        previous: parsed document whose unchanged fronts are reused.
        now_ms: civil time for the history entry.
    """

    stored: StoredDocument
    known_version: int
    previous: ParsedDocument
    now_ms: int


def decide_patch(request: PatchRequest, context: PatchContext) -> Decision:
    """Decide whether a patch may be written.

    Args:
        request: request of the operator.
        context: state of the daemon and the platform.

    Returns:
        The document to write, the acceptance of an earlier request with the
        same identifier, or a refusal.
    """
    parsed = read_stored(context.stored, context.previous)
    if not isinstance(parsed, Success):
        return Failure(refuse_unreadable(parsed.failure()))
    stored = parsed.unwrap()
    document = stored.document
    earlier = record_of_patch(document, request.patch_id)
    if earlier is not None:
        return outcome_from_history(request, earlier)
    min_version = max(context.known_version, request.base)
    if document.version < min_version:
        return Failure(refuse_stale(document, min_version))
    if document.version > request.base:
        return Failure(refuse_outdated(request, stored))
    return _prepare(request, stored, context)


def read_stored(
    stored: StoredDocument,
    previous: ParsedDocument,
) -> Result[ParsedDocument, tuple[Problem, ...]]:
    """Parse the stored document; an absent key yields the empty document.

    Args:
        stored: value of the configuration key in the platform.
        previous: parsed document whose unchanged fronts are reused.
    """
    if stored.raw is None:
        return Success(parsed_document(Document()))
    return parse_incrementally(stored.raw, previous)


def outcome_from_history(
    request: PatchRequest, earlier: PatchRecord
) -> Decision:
    """Return the outcome of a patch whose identifier is in the history.

    Args:
        request: request of the operator.
        earlier: history entry with the same identifier.

    Returns:
        The acceptance if the author and the base version are the same,
        otherwise a refusal.
    """
    same_author = earlier.author == request.author
    if same_author and earlier.version == request.base + 1:
        return Success(PatchAccepted(record=earlier))
    return Failure(refuse_duplicate(request.patch_id, earlier))


def refuse_outdated(
    request: PatchRequest, stored: ParsedDocument
) -> PatchRefused:
    """Refuse a patch whose base version is not the active version."""
    merged = merge_patch(stored.tree, request.patch)
    # The defaults are filled in so that they do not count as changes.
    filled = structure_incrementally(merged, stored).map(
        lambda valid: valid.tree
    )
    changes = tree_changes(stored.tree, filled.value_or(merged))
    return refuse_conflict(request, stored.document, changes[:_MAX_CHANGES])


def _prepare(
    request: PatchRequest,
    stored: ParsedDocument,
    context: PatchContext,
) -> Decision:
    reserved = sorted(request.patch.keys() & set(_RESERVED_KEYS))
    if reserved:
        return Failure(
            refuse_invalid(
                map(_reserved_key_problem, reserved), stored.document
            )
        )
    merged = merge_patch(stored.tree, request.patch)
    checked = structure_incrementally(merged, stored)
    if not isinstance(checked, Success):
        return Failure(refuse_invalid(checked.failure(), stored.document))
    result_document = checked.unwrap()
    changes = tree_changes(stored.tree, result_document.tree)
    if not changes:
        return Failure(refuse_unchanged(stored.document))
    record = _build_record(request, changes, context)
    return _prepare_write(result_document, record, context)


def _reserved_key_problem(key: str) -> Problem:
    return Problem(
        path=key,
        detail='the daemon sets this key; patches must not contain it',
        allowed='one of fronts, tenants, classes',
    )


def _build_record(
    request: PatchRequest,
    changes: tuple[Change, ...],
    context: PatchContext,
) -> PatchRecord:
    return PatchRecord(
        id=request.patch_id,
        version=request.base + 1,
        author=request.author,
        at_ms=context.now_ms,
        paths=summarize_paths(changes),
    )


def _prepare_write(
    result_document: ParsedDocument,
    record: PatchRecord,
    context: PatchContext,
) -> Decision:
    patches = append_record(result_document.document.patches, record)
    with_header = attrs.evolve(
        result_document.document,
        version=record.version,
        patches=patches,
        fronts={},
    )
    tree = {
        **unstructure_document(with_header),
        'fronts': result_document.tree['fronts'],
    }
    raw = attrs.evolve(result_document, tree=tree).text
    if len(raw) > _MAX_DOCUMENT_BYTES:
        return Failure(
            refuse_invalid([_size_problem(len(raw))], result_document.document)
        )
    write = PreparedWrite(
        raw=raw,
        revision=context.stored.revision,
        record=record,
    )
    return Success(write)


def _size_problem(size: int) -> Problem:
    return Problem(
        path='',
        detail=f'the resulting document would have {size} bytes',
        allowed=f'at most {_MAX_DOCUMENT_BYTES} bytes',
    )
