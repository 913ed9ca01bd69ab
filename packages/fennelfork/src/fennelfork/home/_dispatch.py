"""Hands out free slots: queued work first, then hedges."""

from collections.abc import Iterator
from typing import Final

from fennelfork._verdict import FailureCode
from fennelfork.gather._range import missing_ranges
from fennelfork.home._board import Attempt, Board, Job, ServerState, Timer
from fennelfork.home._messages import Action, Send, Task
from fennelfork.servers._hedge import hedge_delay_ms
from fennelfork.servers._rank import Candidate, best

# Copies of one sub-query that may run at the same time: a third only when the
# second is overdue as well.
_COPIES: Final = 3


def dispatch(board: Board) -> list[Action]:
    """Start all that a slot is free for."""
    actions: list[Action] = []
    placed = _place_next(board)
    while placed is not None:
        actions.append(placed)
        placed = _place_next(board)
    actions.extend(_hedges(board))
    return actions


def holders(board: Board, task: Task) -> Iterator[ServerState]:
    """Give the servers that may run the work once a slot is free."""
    for server in board.servers.values():
        if server.staying and holds(server, task):
            yield server


def holds(server: ServerState, task: Task) -> bool:
    """Tell whether a server has the snapshot and the keys of the work."""
    return any(
        task.span in held.ranges or not missing_ranges(task.span, held.ranges)
        for held in server.snapshots
        if task.snapshot in {None, held.version}
    )


def usable_slots(board: Board, server: ServerState) -> int:
    """Tell how many slots of a server may be in use now."""
    now_ms = board.clock.now_ms()
    if now_ms < server.full_until_ms:
        return board.slots.busy(server.facts.name)
    return server.standing.usable(server.facts.slots, now_ms)


def free_slots(board: Board, server: ServerState) -> int:
    """Tell how many slots of a server are free for new work."""
    if not server.connections.room:
        return 0
    busy = board.slots.busy(server.facts.name)
    return max(0, usable_slots(board, server) - busy)


def obstacle(board: Board, task: Task) -> FailureCode | None:
    """Say why no server could run the work, however long it waits."""
    if any(holders(board, task)):
        return None
    staying = [server for server in board.servers.values() if server.staying]
    if not any(server.snapshots for server in staying):
        return FailureCode.NO_SERVER
    known = {held.version for server in staying for held in server.snapshots}
    if task.snapshot is None or task.snapshot in known:
        return FailureCode.NOT_HELD
    return FailureCode.SNAPSHOT_GONE


def _place_next(board: Board) -> Send | None:
    if not len(board.queue):
        return None
    free = any(free_slots(board, server) for server in board.servers.values())
    if not free:
        return None
    for name in board.queue.in_order():
        job = board.jobs[name]
        server = _choose(board, job, hedge=False)
        if server is not None:
            board.queue.take(name)
            return _send(board, job, server, hedge=False)
    return None


def _choose(board: Board, job: Job, *, hedge: bool) -> str | None:
    """Filter, then rank.

    A hedge goes to a server that has no copy yet, while there is one at all:
    it waits for a slot there.
    """
    able = list(holders(board, job.task))
    if hedge:
        untried = [
            server for server in able if server.facts.name not in job.tried
        ]
        able = untried or able
    candidates = [
        _candidate(board, server, job)
        for server in able
        if free_slots(board, server)
    ]
    chosen = best(candidates, board.rng)
    return chosen.server if chosen else None


def _candidate(board: Board, server: ServerState, job: Job) -> Candidate:
    name = server.facts.name
    return Candidate(
        server=name,
        latency_ms=server.latency.mean_ms,
        outstanding=board.slots.busy(name),
        slots=server.facts.slots,
        warming=server.standing.returning,
        tried=name in job.tried,
    )


def _hedges(board: Board) -> Iterator[Send]:
    """Send second copies of what is overdue, while budget and slots last."""
    for number, attempt in tuple(board.overdue.items()):
        job = board.jobs.get(attempt.task.job)
        if job is None or len(job.active) >= _COPIES:
            board.overdue.pop(number)
            continue
        server = _choose(board, job, hedge=True)
        if server is not None and board.hedge_budget.withdraw():
            board.overdue.pop(number)
            job.hedges += 1
            yield _send(board, job, server, hedge=True)


def _send(board: Board, job: Job, server: str, *, hedge: bool) -> Send:
    now_ms = board.clock.now_ms()
    board.last_attempt += 1
    number = board.last_attempt
    board.slots.hold(server, number)
    board.attempts[number] = Attempt(
        task=job.task,
        server=server,
        sent_ms=now_ms,
        hedge=hedge,
    )
    if not job.tried:
        job.queue_ms = now_ms - job.queued_ms
        board.hedge_budget.deposit()
    job.tried.add(server)
    job.active.add(number)
    _await_reply(board, number, job.task)
    return Send(
        attempt=number,
        task=job.task,
        server=server,
        fresh_connection=hedge or not job.task.idempotent,
    )


def _await_reply(board: Board, number: int, task: Task) -> None:
    """Set the time at which a copy without a reply is overdue."""
    delay_ms = hedge_delay_ms(board.settings.hedge, board.seen)
    if delay_ms is not None and task.idempotent:
        at_ms = board.clock.now_ms() + delay_ms
        board.set_timer(Timer(at_ms=at_ms, attempt=number))
