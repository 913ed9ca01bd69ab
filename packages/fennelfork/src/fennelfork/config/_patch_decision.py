"""Whether a patch may be written, and what exactly is written.

Nothing here writes: the result is either the outcome, known without a write,
or the document to write under compare-and-swap.
"""

from typing import Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork.config._document import Document, PatchRecord
from fennelfork.config._document_known import (
    KnownDocument,
    known_document,
    parse_again,
    structure_again,
)
from fennelfork.config._document_parse import unstructure_document
from fennelfork.config._document_problem import Problem
from fennelfork.config._merge_patch import Change, merge_patch, tree_changes
from fennelfork.config._patch import (
    PatchAccepted,
    PatchRefused,
    PatchRequest,
    PreparedWrite,
    StoredDocument,
)
from fennelfork.config._patch_history import (
    history_paths,
    record_of_patch,
    with_record,
)
from fennelfork.config._patch_refusal import (
    conflicting,
    duplicate,
    faulty,
    idle,
    stale,
    unreadable,
)

_MAX_DOCUMENT_BYTES: Final = 1_000_000
_SHOWN_CHANGES: Final = 64
_OWN_KEYS: Final = ('patches', 'version')

Decision = Result[PreparedWrite | PatchAccepted, PatchRefused]


@attrs.frozen(kw_only=True)
class PatchContext:
    """What a daemon knows when it decides on a patch.

    Attributes:
        stored: what the platform shows.
        known_version: the highest version that this daemon holds or heard of.
        known: a document read before, which saves checking it again.
        now_ms: civil time, for the history.
    """

    stored: StoredDocument
    known_version: int
    known: KnownDocument
    now_ms: int


def decide_patch(request: PatchRequest, context: PatchContext) -> Decision:
    """Decide on a patch from what the platform shows.

    Args:
        request: the patch.
        context: what the daemon knows.

    Returns:
        The document to write, the acceptance of an earlier try, or a refusal.
    """
    parsed = read_stored(context.stored, context.known)
    if not isinstance(parsed, Success):
        return Failure(unreadable(parsed.failure()))
    stored = parsed.unwrap()
    document = stored.document
    earlier = record_of_patch(document, request.patch_id)
    if earlier is not None:
        return earlier_outcome(request, earlier)
    known = max(context.known_version, request.base)
    if document.version < known:
        return Failure(stale(document, known))
    if document.version > request.base:
        return Failure(lost_race(request, stored))
    return _prepare(request, stored, context)


def read_stored(
    stored: StoredDocument,
    known: KnownDocument,
) -> Result[KnownDocument, tuple[Problem, ...]]:
    """Read what the platform shows; an absent key is the empty document.

    Args:
        stored: what it shows.
        known: a document read before.
    """
    if stored.raw is None:
        return Success(known_document(Document()))
    return parse_again(stored.raw, known)


def earlier_outcome(request: PatchRequest, earlier: PatchRecord) -> Decision:
    """Answer a patch whose id is in the history already.

    Args:
        request: the patch.
        earlier: the record under its id.

    Returns:
        The acceptance if it is the same patch sent again; a refusal if the id
        belongs to a patch of another author or base.
    """
    same_author = earlier.author == request.author
    if same_author and earlier.version == request.base + 1:
        return Success(PatchAccepted(record=earlier))
    return Failure(duplicate(request.patch_id, earlier))


def lost_race(request: PatchRequest, stored: KnownDocument) -> PatchRefused:
    """Refuse a patch whose base is no longer in force, with the changes."""
    merged = merge_patch(stored.tree, request.patch)
    # Defaults that the patch leaves out are no change, if it is valid.
    filled = structure_again(merged, stored).map(lambda made: made.tree)
    changes = tree_changes(stored.tree, filled.value_or(merged))
    return conflicting(request, stored.document, changes[:_SHOWN_CHANGES])


def _prepare(
    request: PatchRequest,
    stored: KnownDocument,
    context: PatchContext,
) -> Decision:
    own = sorted(request.patch.keys() & set(_OWN_KEYS))
    if own:
        return Failure(faulty(map(_set_by_daemon, own), stored.document))
    merged = merge_patch(stored.tree, request.patch)
    checked = structure_again(merged, stored)
    if not isinstance(checked, Success):
        return Failure(faulty(checked.failure(), stored.document))
    made = checked.unwrap()
    changes = tree_changes(stored.tree, made.tree)
    if not changes:
        return Failure(idle(stored.document))
    record = _record(request, changes, context)
    return _write(made, record, context)


def _set_by_daemon(key: str) -> Problem:
    return Problem(
        path=key,
        detail='set by the daemon, not by patches',
        allowed='fronts, tenants and classes',
    )


def _record(
    request: PatchRequest,
    changes: tuple[Change, ...],
    context: PatchContext,
) -> PatchRecord:
    return PatchRecord(
        id=request.patch_id,
        version=request.base + 1,
        author=request.author,
        at_ms=context.now_ms,
        paths=history_paths(changes),
    )


def _write(
    made: KnownDocument,
    record: PatchRecord,
    context: PatchContext,
) -> Decision:
    patches = with_record(made.document.patches, record)
    headed = attrs.evolve(
        made.document,
        version=record.version,
        patches=patches,
        fronts={},
    )
    tree = {**unstructure_document(headed), 'fronts': made.tree['fronts']}
    raw = attrs.evolve(made, tree=tree).text
    if len(raw) > _MAX_DOCUMENT_BYTES:
        return Failure(faulty([_too_large(len(raw))], made.document))
    write = PreparedWrite(
        raw=raw,
        revision=context.stored.revision,
        record=record,
    )
    return Success(write)


def _too_large(size: int) -> Problem:
    return Problem(
        path='',
        detail=f'the document would have {size} bytes',
        allowed=f'at most {_MAX_DOCUMENT_BYTES} bytes',
    )
