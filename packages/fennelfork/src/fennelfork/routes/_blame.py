"""What the outcome of a call says of the server that was called."""

import functools
from typing import Final

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.routes._pace import Pace
from fennelfork.routes._send import Send
from fennelfork.routes._server_state import ServerState


@attrs.frozen(kw_only=True)
class Answered:
    """The server answered well."""


@attrs.frozen(kw_only=True)
class Failed:
    """The server answered badly, or the call broke."""

    failure: Failure


@attrs.frozen(kw_only=True)
class Silent:
    """The server did not answer while it was waited for."""


@attrs.frozen(kw_only=True)
class Dropped:
    """The call was ended for a reason that says nothing of the server."""


CallEnd = Answered | Failed | Silent | Dropped


# With less time left than this, a connection that is not open in time says
# nothing of its server: one in another region takes 54 ms, a busy one more.
_FAIR_MS: Final = 300.0


def end_of_failure(failure: Failure, left_ms: float) -> CallEnd:
    """Tell what a failed call says of its server.

    Args:
        failure: of the call.
        left_ms: the time that the call had when it began.
    """
    unreached = failure.verdict is Verdict.NOT_RUN
    hurried = left_ms < _FAIR_MS
    if unreached and hurried and failure.code is FailureCode.UNREACHABLE:
        return Dropped()
    return Failed(failure=failure)


@attrs.frozen(kw_only=True)
class CallRecord:
    """A call that ended.

    Attributes:
        send: what was sent.
        now_ms: when it ended.
        pace: of the route.
        nearby: whether its latency tells of no distance.
    """

    send: Send
    now_ms: float
    pace: Pace
    nearby: bool

    @property
    def took_ms(self) -> float:
        """How long it took."""
        return self.now_ms - self.send.sent_ms


@functools.singledispatch
def note_end(end: object, record: CallRecord, state: ServerState) -> None:
    """Note the end of a call in the state of its server.

    Raises:
        TypeError: for an end of another type.
    """
    raise TypeError(f'not the end of a call: {end!r}')


@note_end.register
def _note_answer(
    end: Answered,
    record: CallRecord,
    state: ServerState,
) -> None:
    state.heard(record.send.attempt, record.now_ms)
    state.standing.note_good(record.send.server.slots)
    if record.nearby:
        state.sample(record.took_ms / record.pace.usual_ms, record.now_ms)
        record.pace.record(record.took_ms)


@note_end.register
def _note_failure(end: Failed, record: CallRecord, state: ServerState) -> None:
    if end.failure.code is FailureCode.QUEUE_FULL:
        # It never had the call.
        state.lost(record.send.attempt)
        state.note_full(record.now_ms)
        return
    state.heard(record.send.attempt, record.now_ms)
    if end.failure.code is FailureCode.SHED:
        return
    state.standing.note_bad()
    unreached = end.failure.verdict is Verdict.NOT_RUN
    if unreached or state.standing.doubted:
        # Nobody listens there, or what comes back is bad time after time.
        state.standing.eject(record.now_ms)


@note_end.register
def _note_silence(end: Silent, record: CallRecord, state: ServerState) -> None:
    state.lost(record.send.attempt)
    state.sample(record.took_ms / record.pace.usual_ms, record.now_ms)
    state.standing.note_bad()
    if state.standing.doubted:
        state.standing.eject(record.now_ms)


@note_end.register
def _note_drop(end: Dropped, record: CallRecord, state: ServerState) -> None:
    state.lost(record.send.attempt)
