"""State machine that writes one patch with compare-and-swap.

The writer reads the document, decides on the patch and writes the result. If
the effect of the write is unknown, the writer reads the document again.
Compare-and-swap lets only one patch produce the version after the base, so the
history entry of that version determines the outcome. Without such an entry the
writer repeats the same write. The repetition is idempotent, since the first
write that takes effect changes the revision that both writes expect.
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
    """State of the write of one patch.

    Attributes:
        request: request of the operator.
        known_version: highest version known when the request arrived.
        previous: active document when the request arrived.
        now_ms: civil time for the history entry.
        attempts_left: number of failed calls that are still allowed.
        deadline_ms: monotonic time after which a failed call is not retried,
            so that the operator is answered before the request times out.
        jitter: random source that spreads the retries of concurrent writers.
        step: next step to execute.
        failures: number of failed calls.
        write: prepared write; none before the decision.
        has_unknown_write: whether a write was sent without an answer.
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
        """End the patch with an outcome."""
        self.step = PatchDone(outcome=outcome)

    def abandon(self, detail: str) -> None:
        """End the patch with the verdict that holds without the platform.

        Args:
            detail: reason why the platform is unavailable.
        """
        refused = refuse_unknown_outcome(self.request.patch_id)
        if not self.has_unknown_write:
            refused = refuse_unavailable(detail, _RETRY_AFTER_MS)
        self.finish(Failure(refused))

    def retry(self, detail: str) -> None:
        """Schedule a read after a delay, or abandon the patch."""
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
    """Apply an event and set `writer.step` to the next step.

    Args:
        event: result of the last step.
        writer: writer that requested the step.

    Raises:
        TypeError: if `event` is not a `PatchEvent`.
    """
    raise TypeError(f'expected a PatchEvent, got {event!r}')


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
    writer.retry('the platform refused the write because the key had changed')


@advance_patch.register
def _(event: WriteApplied, writer: PatchWriter) -> None:
    write = writer.write
    if write is None:
        raise TypeError('WriteApplied was received before a write was prepared')
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
        writer.retry(
            'the platform holds neither the base version nor its successor'
        )
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
