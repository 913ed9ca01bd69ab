"""Dispatch of queued jobs and hedges to free slots."""

from collections.abc import Iterator
from typing import Final

from fennelfork._verdict import FailureCode
from fennelfork.gather._range import missing_ranges
from fennelfork.home._blackboard import (
    Attempt,
    Job,
    ServerState,
    ShardBlackboard,
    Timer,
)
from fennelfork.home._messages import Action, Send, Task
from fennelfork.servers._hedge import hedge_delay_ms
from fennelfork.servers._rank import Candidate, choose_candidate

# A second hedge is sent only when the first one is overdue as well.
_MAX_ACTIVE_ATTEMPTS: Final = 3


def dispatch(blackboard: ShardBlackboard) -> list[Action]:
    """Send queued jobs, then hedges, while slots are free."""
    actions: list[Action] = []
    sent = _dispatch_next(blackboard)
    while sent is not None:
        actions.append(sent)
        sent = _dispatch_next(blackboard)
    actions.extend(_send_hedges(blackboard))
    return actions


def eligible_servers(
    blackboard: ShardBlackboard, task: Task
) -> Iterator[ServerState]:
    """Yield the servers that can run a task."""
    for server in blackboard.servers.values():
        if server.accepts_work and can_run(server, task):
            yield server


def can_run(server: ServerState, task: Task) -> bool:
    """Return whether a server holds the snapshot and the keys of a task."""
    return any(
        task.span in held.ranges or not missing_ranges(task.span, held.ranges)
        for held in server.snapshots
        if task.snapshot in {None, held.version}
    )


def usable_slots(blackboard: ShardBlackboard, server: ServerState) -> int:
    """Return how many slots of a server may be used."""
    now_ms = blackboard.clock.now_ms()
    if now_ms < server.overloaded_until_ms:
        return blackboard.slots.count_busy(server.config.name)
    return server.ejection.usable_slots(server.config.slots, now_ms)


def free_slots(blackboard: ShardBlackboard, server: ServerState) -> int:
    """Return how many slots of a server are free."""
    if not server.connections.has_capacity:
        return 0
    busy = blackboard.slots.count_busy(server.config.name)
    return max(0, usable_slots(blackboard, server) - busy)


def blocking_reason(
    blackboard: ShardBlackboard, task: Task
) -> FailureCode | None:
    """Return why no server can run a task, or `None` if one can."""
    if any(eligible_servers(blackboard, task)):
        return None
    accepting = [
        server for server in blackboard.servers.values() if server.accepts_work
    ]
    if not any(server.snapshots for server in accepting):
        return FailureCode.NO_SERVER
    known = {held.version for server in accepting for held in server.snapshots}
    if task.snapshot is None or task.snapshot in known:
        return FailureCode.NOT_HELD
    return FailureCode.SNAPSHOT_GONE


def _dispatch_next(blackboard: ShardBlackboard) -> Send | None:
    if not len(blackboard.queue):
        return None
    free = any(
        free_slots(blackboard, server) for server in blackboard.servers.values()
    )
    if not free:
        return None
    for name in blackboard.queue.in_order():
        job = blackboard.jobs[name]
        server = _choose_server(blackboard, job, hedge=False)
        if server is not None:
            blackboard.queue.dequeue(name)
            return _send(blackboard, job, server, hedge=False)
    return None


def _choose_server(
    blackboard: ShardBlackboard, job: Job, *, hedge: bool
) -> str | None:
    """Return the best eligible server with a free slot, or `None`.

    A hedge goes to an untried server if there is such a server, even if the
    hedge has to wait for a slot.
    """
    eligible = list(eligible_servers(blackboard, job.task))
    if hedge:
        untried = [
            server
            for server in eligible
            if server.config.name not in job.tried_servers
        ]
        eligible = untried or eligible
    candidates = [
        _build_candidate(blackboard, server, job)
        for server in eligible
        if free_slots(blackboard, server)
    ]
    chosen = choose_candidate(candidates, blackboard.rng)
    return chosen.server if chosen else None


def _build_candidate(
    blackboard: ShardBlackboard, server: ServerState, job: Job
) -> Candidate:
    name = server.config.name
    return Candidate(
        server=name,
        latency_ms=server.latency.mean_ms,
        outstanding=blackboard.slots.count_busy(name),
        slots=server.config.slots,
        warming=server.ejection.in_slow_start,
        tried=name in job.tried_servers,
    )


def _send_hedges(blackboard: ShardBlackboard) -> Iterator[Send]:
    """Send hedges for overdue attempts within the budget."""
    for attempt_number, attempt in tuple(blackboard.overdue.items()):
        job = blackboard.jobs.get(attempt.task.job)
        if job is None or len(job.active_attempts) >= _MAX_ACTIVE_ATTEMPTS:
            blackboard.overdue.pop(attempt_number)
            continue
        server = _choose_server(blackboard, job, hedge=True)
        if server is not None and blackboard.hedge_budget.withdraw():
            blackboard.overdue.pop(attempt_number)
            job.hedges += 1
            yield _send(blackboard, job, server, hedge=True)


def _send(
    blackboard: ShardBlackboard, job: Job, server: str, *, hedge: bool
) -> Send:
    now_ms = blackboard.clock.now_ms()
    blackboard.last_attempt += 1
    attempt_number = blackboard.last_attempt
    blackboard.slots.acquire(server, attempt_number)
    blackboard.attempts[attempt_number] = Attempt(
        task=job.task,
        server=server,
        sent_ms=now_ms,
        hedge=hedge,
    )
    if not job.tried_servers:
        job.queue_ms = now_ms - job.queued_ms
        blackboard.hedge_budget.deposit()
    job.tried_servers.add(server)
    job.active_attempts.add(attempt_number)
    _set_hedge_timer(blackboard, attempt_number, job.task)
    return Send(
        attempt=attempt_number,
        task=job.task,
        server=server,
        fresh_connection=hedge or not job.task.idempotent,
    )


def _set_hedge_timer(
    blackboard: ShardBlackboard, attempt_number: int, task: Task
) -> None:
    """Schedule the timer that marks an attempt as overdue."""
    delay_ms = hedge_delay_ms(
        blackboard.settings.hedge, blackboard.shard_latencies
    )
    if delay_ms is not None and task.idempotent:
        at_ms = blackboard.clock.now_ms() + delay_ms
        blackboard.set_timer(Timer(at_ms=at_ms, attempt=attempt_number))
