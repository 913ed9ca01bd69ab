"""The writer of one patch, under compare-and-swap with lost replies.

The writer reads, decides, writes, and after anything but a clear answer reads
back. What it finds under the version after its base settles the matter, since
compare-and-swap lets only one patch make that version. Until the history
shows it, the writer sends the very same write again: that is idempotent, as
the first of the two to take effect moves the revision that both name.
"""

import functools
import random
from typing import Any, Final

import attrs
from returns.result import Failure, Success

from fennelfork._clock import Clock
from fennelfork.config._backoff import Backoff
from fennelfork.config._document import Document, PatchRecord
from fennelfork.config._parsed_document import ParsedDocument, parsed_document
from fennelfork.config._patch import (
    PatchAccepted,
    PatchOutcome,
    PatchRequest,
    PreparedWrite,
    StoredDocument,
)
from fennelfork.config._patch_decision import (
    PatchContext,
    decide_patch,
    outcome_from_history,
    read_stored,
    refuse_outdated,
)
from fennelfork.config._patch_event import (
    DocumentRead,
    PatchDone,
    PatchEvent,
    PatchStep,
    ReadDocument,
    ReadFailed,
    WriteApplied,
    WriteConflict,
    WriteDocument,
    WriteNotSent,
    WriteOutcomeUnknown,
)
from fennelfork.config._patch_history import record_of_version
from fennelfork.config._patch_refusal import (
    refuse_unavailable,
    refuse_unknown_outcome,
)

_BACKOFF: Final = Backoff(base_ms=10, cap_ms=1000)
_RETRY_AFTER_MS: Final = 5000
_EMPTY: Final = parsed_document(Document())


@attrs.define(kw_only=True)
class PatchWriter:
    """State of one patch on its way to the platform.

    Attributes:
        request: the patch.
        known_version: the highest version known when the patch came.
        known: the document in force here when the patch came.
        now_ms: civil time, for the history.
        tries_left: failed calls that are still allowed.
        give_up_at_ms: reading of the clock after which a failed call is the
            last, so that the author is answered before going away.
        jitter: spreads the retries of racing writers.
        step: what to do next.
        failures: failed calls so far.
        write: the prepared document, once decided.
        lost: whether a write was sent whose answer is missing.
    """

    request: PatchRequest
    known_version: int
    previous: ParsedDocument
    now_ms: int
    attempts_left: int
    deadline_ms: float
    jitter: random.Random
    _clock: Clock
    step: PatchStep = ReadDocument()
    failures: int = 0
    write: PreparedWrite | None = None
    has_unknown_write: bool = False

    def finish(self, outcome: PatchOutcome) -> None:
        """Settle the patch."""
        self.step = PatchDone(outcome=outcome)

    def abandon(self, detail: str) -> None:
        """Settle the patch with what is certain without the platform.

        Args:
            detail: why the platform could not be asked.
        """
        refused = refuse_unknown_outcome(self.request.patch_id)
        if not self.has_unknown_write:
            refused = refuse_unavailable(detail, _RETRY_AFTER_MS)
        self.finish(Failure(refused))

    def retry(self, detail: str) -> None:
        """Read again after a wait, or give up when the tries are spent."""
        self.failures += 1
        self.attempts_left -= 1
        is_overdue = self._clock.now_ms() >= self.deadline_ms
        if is_overdue or self.attempts_left <= 0:
            self.abandon(detail)
            return
        delay_ms = _BACKOFF.delay_ms(self.failures, self.jitter)
        self.step = ReadDocument(delay_ms=delay_ms)


@functools.singledispatch
def advance_patch(event: PatchEvent, writer: PatchWriter) -> None:
    """Take one event into account; `writer.step` then says what to do.

    Args:
        event: what came of the last step.
        writer: the writer that asked for it.

    Raises:
        TypeError: if `event` is no event of a writer.
    """
    raise TypeError(f'not an event: {event!r}')


@advance_patch.register
def _(event: ReadFailed, writer: PatchWriter) -> None:
    writer.retry(event.detail)


@advance_patch.register
def _(event: WriteNotSent, writer: PatchWriter) -> None:
    writer.retry(event.detail)


@advance_patch.register
def _(event: WriteOutcomeUnknown, writer: PatchWriter) -> None:
    writer.has_unknown_write = True
    writer.retry(event.detail)


@advance_patch.register
def _(event: WriteConflict, writer: PatchWriter) -> None:
    writer.retry('the platform keeps refusing the write')


@advance_patch.register
def _(event: WriteApplied, writer: PatchWriter) -> None:
    write = writer.write
    if write is None:
        raise TypeError('a write was applied that was never asked for')
    accepted = PatchAccepted(record=write.record, raw=write.raw)
    writer.finish(Success(accepted))


@advance_patch.register
def _(event: DocumentRead, writer: PatchWriter) -> None:
    if writer.write is None:
        _decide_step(writer, event.stored)
    else:
        _resolve_write(writer, writer.write, event.stored)


def _decide_step(writer: PatchWriter, stored: StoredDocument) -> None:
    context = PatchContext(
        stored=stored,
        known_version=writer.known_version,
        previous=writer.previous,
        now_ms=writer.now_ms,
    )
    decided: Any = decide_patch(writer.request, context)
    decision = decided.value_or(None)
    if isinstance(decision, PreparedWrite):
        writer.write = decision
        writer.step = WriteDocument(write=decision)
    else:
        writer.finish(decided)


def _resolve_write(
    writer: PatchWriter,
    write: PreparedWrite,
    stored: StoredDocument,
) -> None:
    current = read_stored(stored, writer.previous).value_or(_EMPTY)
    winner = record_of_version(current.document, write.record.version)
    if winner:
        writer.finish(_outcome_of_winner(writer.request, winner, current))
    elif stored.revision == write.revision:
        writer.step = WriteDocument(write=write)
    elif writer.has_unknown_write:
        writer.retry('the platform shows neither the base nor its successor')
    else:
        _decide_step(writer, stored)


def _outcome_of_winner(
    request: PatchRequest,
    winner: PatchRecord,
    current: ParsedDocument,
) -> Any:
    if winner.id == request.patch_id:
        return outcome_from_history(request, winner)
    return Failure(refuse_outdated(request, current))
