"""Takes new work in, or refuses it at once; and ends it in time."""

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result

from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.home._admission import Arrival, Pressure
from fennelfork.home._board import Board, Job, Timer
from fennelfork.home._dispatch import (
    free_slots,
    holders,
    obstacle,
    usable_slots,
)
from fennelfork.home._messages import Action, Task
from fennelfork.home._outcome import cancel_copies, failed, refuse, requeue


def take_in(board: Board, task: Task) -> list[Action]:
    """Queue new work, or refuse it if it cannot be met.

    Raises:
        ValueError: if the job's name is in use.
    """
    if task.job in board.jobs:
        raise ValueError(f'job {task.job} is offered twice')
    job = Job(task=task, queued_ms=board.clock.now_ms())
    board.jobs[task.job] = job
    judged = _judge(board, task)
    if not is_successful(judged):
        return [refuse(board, job, judged.failure())]
    if judged.unwrap():
        start_by_ms = task.deadline_ms - board.seen.median_ms
        board.set_timer(Timer(at_ms=start_by_ms, start_by=True, job=task.job))
    board.set_timer(Timer(at_ms=task.deadline_ms, job=task.job))
    return requeue(board, job)


def look(board: Board, timer: Timer) -> list[Action]:
    """Look at what a timer was set for."""
    if timer.attempt:
        return _look_at_attempt(board, timer.attempt)
    job = board.jobs.get(timer.job)
    if job is None or (timer.start_by and timer.job not in board.queue):
        return []
    late = not_run(FailureCode.DEADLINE, 'the deadline cannot be met')
    cancels = cancel_copies(board, job, lost=False)
    return [refuse(board, job, late), *cancels]


def _look_at_attempt(board: Board, number: int) -> list[Action]:
    attempt = board.attempts.get(number)
    if attempt is None:
        return []
    if attempt.cancelled:
        silent = not_run(
            FailureCode.CANCELLED,
            'the server confirms no cancel',
        )
        return failed(board, number, silent)
    board.overdue[number] = attempt
    return []


def _judge(board: Board, task: Task) -> Result[float, Failure]:
    """Predict the wait of new work, or find a reason to refuse it."""
    code = obstacle(board, task)
    if code is not None:
        return Err(not_run(code, 'no server of the shard can run it'))
    return board.admission.judge(
        Arrival(
            flow=task.flow,
            request_id=task.request_id,
            weight=task.weight,
        ),
        _pressure(board, task),
        board.clock.now_ms(),
    )


def _pressure(board: Board, task: Task) -> Pressure:
    able = list(holders(board, task))
    return Pressure(
        slots=max(1, sum(usable_slots(board, server) for server in able)),
        free=sum(free_slots(board, server) for server in able),
        ahead=board.queue.ahead_of(task.flow, task.deadline_ms),
        least_ms=board.seen.median_ms,
        left_ms=task.deadline_ms - board.clock.now_ms(),
    )
