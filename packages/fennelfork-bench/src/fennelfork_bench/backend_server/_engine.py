"""Runs searches and executions in the slots of a stand-in."""

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
from fennelfork_bench.backend_server._slots import Ending, Work
from fennelfork_bench.backend_server._state import ServerState

_MS_PER_SECOND: Final = 1000
_SHED_RETRY_MS: Final = 5
_THAW_STEP_MS: Final = 10


@attrs.frozen(kw_only=True)
class Attempt:
    """One arrival of a request, with the faults that meet it."""

    subject: Subject
    deadline_ms: float
    faults: Iterable[FaultRule]


def search(
    state: ServerState,
    request: SearchRequest,
    faults: Iterable[FaultRule],
) -> Result[SearchReply, Failure]:
    """Answer a search from the snapshot it names.

    Raises:
        ValueError: if the range of the request is empty.
    """
    wanted = key_range(request.lo, request.hi)
    attempt = Attempt(
        subject=search_subject(request),
        deadline_ms=request.deadline_ms,
        faults=faults,
    )
    refusal = _refuse_search(state, request.snapshot, wanted)
    failure = refusal or _admit_and_run(state, attempt)
    if failure:
        return _refused(state, attempt.subject, failure)
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
    """Run a non-idempotent request; the outcome tells how often it ran."""
    attempt = Attempt(
        subject=execute_subject(request),
        deadline_ms=request.left_ms(state.clock.now_ms()),
        faults=faults,
    )
    wanted = key_range(request.key, request.key + 1)
    refusal = _refuse_range(state, state.holdings.newest, wanted)
    failure = refusal or _admit_and_run(state, attempt)
    if failure:
        return _refused(state, attempt.subject, failure)
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
    """End a running request and free its slot."""
    return CancelReply(
        request_id=request.request_id,
        sub_query=request.sub_query,
        cancelled=state.slots.cancel(request.request_id, request.sub_query),
    )


def wait_until_thawed(state: ServerState) -> None:
    """Stand still while the server is frozen; an order may thaw it early."""
    while state.frozen_until_ms > state.clock.now_ms():
        eventlet.sleep(_THAW_STEP_MS / _MS_PER_SECOND)


def search_subject(request: SearchRequest) -> Subject:
    """Name a search in the log."""
    return Subject(
        call=Call.SEARCH,
        request_id=request.request_id,
        sub_query=request.sub_query,
        snapshot=request.snapshot,
        lo=request.lo,
        hi=request.hi,
    )


def execute_subject(request: ExecuteRequest) -> Subject:
    """Name an execution in the log."""
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
    if not state.holdings.has(snapshot):
        return not_run(FailureCode.SNAPSHOT_GONE, f'no snapshot {snapshot}')
    return _refuse_range(state, snapshot, wanted)


def _refuse_range(
    state: ServerState,
    snapshot: int,
    wanted: KeyRange,
) -> Failure | None:
    if state.holdings.covers(snapshot, wanted):
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
    work = state.slots.take(subject.request_id, subject.sub_query)
    if work is None:
        return not_run(FailureCode.SHED, 'all slots are busy', _SHED_RETRY_MS)
    state.log.add(EventKind.STARTED, subject)
    return _spend_time(state, attempt, work)


def _spend_time(
    state: ServerState,
    attempt: Attempt,
    work: Work,
) -> Failure | None:
    service_ms = state.times.draw_ms(state.clock.now_ms(), attempt.faults)
    ending = work.wait(min(service_ms, attempt.deadline_ms))
    state.slots.free(work)
    wait_until_thawed(state)
    if ending is Ending.CANCELLED:
        state.log.add(EventKind.CANCELLED, attempt.subject)
        return may_have_run(FailureCode.CANCELLED, 'cancelled while it ran')
    if service_ms > attempt.deadline_ms:
        state.log.add(EventKind.EXPIRED, attempt.subject)
        return may_have_run(FailureCode.DEADLINE, 'too late while it ran')
    state.log.add(EventKind.RAN, attempt.subject)
    return None


def _refused(
    state: ServerState,
    subject: Subject,
    failure: Failure,
) -> Refused[Failure]:
    state.log.add(EventKind.REFUSED, subject, failure.code.value)
    return Refused(failure)
