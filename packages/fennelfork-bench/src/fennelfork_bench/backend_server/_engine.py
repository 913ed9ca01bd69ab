"""Runs searches and executions in the slots of a stand-in server."""

from collections.abc import Iterable
from typing import Final

import attrs
import eventlet
from returns.result import Failure as Refused
from returns.result import Result
from returns.result import Success as Done

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork.gather import KeyRange, key_range
from fennelfork_bench.backend_server._faults import FaultRule
from fennelfork_bench.backend_server._log import Call, EventKind, Subject
from fennelfork_bench.backend_server._messages import (
    CancelReply,
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    SearchReply,
    SearchRequest,
)
from fennelfork_bench.backend_server._records import select_records
from fennelfork_bench.backend_server._slots import RunningRequest, RunOutcome
from fennelfork_bench.backend_server._state import ServerState

_MS_PER_SECOND: Final = 1000
_SHED_RETRY_AFTER_MS: Final = 5
_FREEZE_POLL_MS: Final = 10


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt of a request on this server, with its injected faults."""

    subject: Subject
    deadline_ms: float
    faults: Iterable[FaultRule]


def search(
    state: ServerState,
    request: SearchRequest,
    faults: Iterable[FaultRule],
) -> Result[SearchReply, Failure]:
    """Run a search on the requested snapshot.

    Raises:
        ValueError: if the key range of the request is empty.
    """
    wanted = key_range(request.lo, request.hi)
    attempt = Attempt(
        subject=build_search_subject(request),
        deadline_ms=request.deadline_ms,
        faults=faults,
    )
    refusal = _refuse_search(state, request.snapshot, wanted)
    failure = refusal or _admit_and_run(state, attempt)
    if failure:
        return _build_refusal(state, attempt.subject, failure)
    records = select_records(
        state.settings.front_seed,
        request.snapshot,
        wanted,
        request.query,
    )
    return Done(
        SearchReply(
            request_id=request.request_id,
            sub_query=request.sub_query,
            snapshot=request.snapshot,
            lo=request.lo,
            hi=request.hi,
            count=len(records),
            records=records,
        ),
    )


def execute(
    state: ServerState,
    request: ExecuteRequest,
    faults: Iterable[FaultRule],
) -> Result[ExecuteReply, Failure]:
    """Run a non-idempotent request; the outcome contains the run count."""
    attempt = Attempt(
        subject=build_execute_subject(request),
        deadline_ms=request.remaining_ms(state.clock.now_ms()),
        faults=faults,
    )
    wanted = key_range(request.key, request.key + 1)
    refusal = _refuse_range(state, state.snapshots.newest_version, wanted)
    failure = refusal or _admit_and_run(state, attempt)
    if failure:
        return _build_refusal(state, attempt.subject, failure)
    times_run = state.executed.get((request.key, request.action), 0) + 1
    state.executed[request.key, request.action] = times_run
    return Done(
        ExecuteReply(
            request_id=request.request_id,
            sub_query=request.sub_query,
            key=request.key,
            outcome=f'{request.action}-{request.key}-{times_run}',
        ),
    )


def cancel(state: ServerState, request: CancelRequest) -> CancelReply:
    """Cancel a running request and release its slot."""
    return CancelReply(
        request_id=request.request_id,
        sub_query=request.sub_query,
        cancelled=state.slots.cancel(request.request_id, request.sub_query),
    )


def wait_while_frozen(state: ServerState) -> None:
    """Wait until the freeze of the server ends or is cleared."""
    while state.frozen_until_ms > state.clock.now_ms():
        eventlet.sleep(_FREEZE_POLL_MS / _MS_PER_SECOND)


def build_search_subject(request: SearchRequest) -> Subject:
    """Return the log subject of a search."""
    return Subject(
        call=Call.SEARCH,
        request_id=request.request_id,
        sub_query=request.sub_query,
        snapshot=request.snapshot,
        lo=request.lo,
        hi=request.hi,
    )


def build_execute_subject(request: ExecuteRequest) -> Subject:
    """Return the log subject of an execution."""
    return Subject(
        call=Call.EXECUTE,
        request_id=request.request_id,
        sub_query=request.sub_query,
        key=request.key,
        action=request.action,
    )


def _refuse_search(
    state: ServerState,
    snapshot: int,
    wanted: KeyRange,
) -> Failure | None:
    if not state.snapshots.holds(snapshot):
        return not_run(FailureCode.SNAPSHOT_GONE, f'no snapshot {snapshot}')
    return _refuse_range(state, snapshot, wanted)


def _refuse_range(
    state: ServerState,
    snapshot: int,
    wanted: KeyRange,
) -> Failure | None:
    if state.snapshots.covers(snapshot, wanted):
        return None
    return not_run(
        FailureCode.NOT_HELD,
        f'[{wanted.lo}, {wanted.hi}) is not held at {snapshot}',
    )


def _admit_and_run(state: ServerState, attempt: Attempt) -> Failure | None:
    if state.draining:
        return not_run(FailureCode.DRAINING, 'the server is draining')
    if attempt.deadline_ms <= 0:
        return not_run(FailureCode.DEADLINE, 'the deadline has passed')
    subject = attempt.subject
    running = state.slots.acquire(subject.request_id, subject.sub_query)
    if running is None:
        return not_run(
            FailureCode.SHED, 'all slots are busy', _SHED_RETRY_AFTER_MS
        )
    state.log.add(EventKind.STARTED, subject)
    return _run_in_slot(state, attempt, running)


def _run_in_slot(
    state: ServerState,
    attempt: Attempt,
    running: RunningRequest,
) -> Failure | None:
    service_ms = state.times.draw_ms(state.clock.now_ms(), attempt.faults)
    outcome = running.wait(min(service_ms, attempt.deadline_ms))
    state.slots.release(running)
    wait_while_frozen(state)
    if outcome is RunOutcome.CANCELLED:
        state.log.add(EventKind.CANCELLED, attempt.subject)
        return may_have_run(FailureCode.CANCELLED, 'cancelled while it ran')
    if service_ms > attempt.deadline_ms:
        state.log.add(EventKind.EXPIRED, attempt.subject)
        return may_have_run(FailureCode.DEADLINE, 'too late while it ran')
    state.log.add(EventKind.RAN, attempt.subject)
    return None


def _build_refusal(
    state: ServerState,
    subject: Subject,
    failure: Failure,
) -> Refused[Failure]:
    state.log.add(EventKind.REFUSED, subject, failure.code.value)
    return Refused(failure)
