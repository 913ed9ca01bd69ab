"""Effect of the outcome of an attempt on the state of a backend server."""

import functools
from typing import Final

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.routes._latency_baseline import LatencyBaseline
from fennelfork.routes._send import Send
from fennelfork.routes._server_state import ServerState


@attrs.frozen(kw_only=True)
class Succeeded:
    """The backend server sent a successful response."""


@attrs.frozen(kw_only=True)
class Failed:
    """The backend server sent an error or the connection failed.

    Attributes:
        failure: failure of the attempt.
    """

    failure: Failure


@attrs.frozen(kw_only=True)
class Unresponsive:
    """The backend server sent no response before the attempt timed out."""


@attrs.frozen(kw_only=True)
class Inconclusive:
    """The attempt ended for a reason unrelated to the backend server."""


AttemptOutcome = Succeeded | Failed | Unresponsive | Inconclusive


# Below this time limit, a connection that is not established in time says
# nothing about its server. A connection to another region takes 54 ms, and one
# to a busy server takes longer.
_MIN_CONNECT_MS: Final = 300.0


def classify_failure(failure: Failure, remaining_ms: float) -> AttemptOutcome:
    """Return the outcome of a failed attempt.

    Args:
        failure: failure of the attempt.
        remaining_ms: time between the decision on the attempt and the deadline of
            the request.
    """
    if failure.code is FailureCode.CANCELLED:
        return Inconclusive()
    unreached = (
        failure.verdict is Verdict.NOT_RUN
        and failure.code is FailureCode.UNREACHABLE
        and not failure.was_received
        and not failure.server_ended
    )
    if unreached and remaining_ms < _MIN_CONNECT_MS:
        return Inconclusive()
    return Failed(failure=failure)


def classify_unsent(took_ms: float) -> AttemptOutcome:
    """Return the outcome of an attempt that had no connection when it ended.

    Args:
        took_ms: time since the start of the connection.
    """
    if took_ms < _MIN_CONNECT_MS:
        return Inconclusive()
    return Unresponsive()


@attrs.frozen(kw_only=True)
class AttemptRecord:
    """Completed attempt.

    Attributes:
        send: attempt as it was sent.
        now_ms: time at which the attempt ended.
        latency_baseline: latency baseline of the route.
        nearby: whether the server is close enough for its latency to exclude
            the network distance.
    """

    send: Send
    now_ms: float
    latency_baseline: LatencyBaseline
    nearby: bool

    @property
    def took_ms(self) -> float:
        """Duration of the attempt."""
        return self.now_ms - self.send.sent_ms


@functools.singledispatch
def record_outcome(
    outcome: object,
    record: AttemptRecord,
    state: ServerState,
) -> None:
    """Record the outcome of an attempt in the state of its server.

    Args:
        outcome: outcome of the attempt.
        record: completed attempt.
        state: state of the backend server.

    Raises:
        TypeError: if the outcome has an unsupported type.
    """
    raise TypeError(f'unsupported outcome of an attempt: {outcome!r}')


@record_outcome.register
def _record_success(
    outcome: Succeeded,
    record: AttemptRecord,
    state: ServerState,
) -> None:
    state.record_response(record.send.attempt, record.now_ms)
    state.ejection.record_success(record.send.server.slots)
    state.record_result(record.now_ms, failed=False)
    record.latency_baseline.record_response_time(
        record.send.server.data_centre,
        record.took_ms,
        state.latency_ratio(record.now_ms),
    )
    if record.nearby:
        state.record_latency(
            record.took_ms / record.latency_baseline.usual_ms, record.now_ms
        )
        record.latency_baseline.record(record.took_ms)


@record_outcome.register
def _record_failure(
    outcome: Failed,
    record: AttemptRecord,
    state: ServerState,
) -> None:
    if outcome.failure.code is FailureCode.QUEUE_FULL:
        # The server has no connection for this daemon.
        state.record_abandoned(record.send.attempt)
        state.record_no_connection(record.now_ms)
        return
    state.record_response(record.send.attempt, record.now_ms)
    state.record_result(record.now_ms, failed=True)
    if outcome.failure.code is FailureCode.SHED:
        return
    state.ejection.record_failure()
    unreached = outcome.failure.verdict is Verdict.NOT_RUN
    if outcome.failure.was_received:
        # Further requests would be extra attempts at the service of the other
        # server, whose retry budget does not count them.
        state.ejection.record_replaced(record.now_ms)
    if outcome.failure.server_ended:
        # Soon another server may listen on the address.
        state.ejection.record_ended(record.now_ms)
    if unreached or state.ejection.should_eject:
        # No process listens on the address, or the server fails repeatedly.
        state.ejection.eject(record.now_ms)


@record_outcome.register
def _record_timeout(
    outcome: Unresponsive,
    record: AttemptRecord,
    state: ServerState,
) -> None:
    state.record_abandoned(record.send.attempt)
    record.latency_baseline.response_times.record_missing()
    state.record_latency(
        record.took_ms / record.latency_baseline.usual_ms, record.now_ms
    )
    state.ejection.record_failure()
    if state.ejection.should_eject:
        state.ejection.eject(record.now_ms)


@record_outcome.register
def _record_inconclusive(
    outcome: Inconclusive,
    record: AttemptRecord,
    state: ServerState,
) -> None:
    state.record_abandoned(record.send.attempt)
