"""Admission of new tasks, and handling of timers."""

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result

from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.home._admission import Arrival, LoadEstimate
from fennelfork.home._blackboard import Job, ShardBlackboard, Timer
from fennelfork.home._dispatch import (
    blocking_reason,
    eligible_servers,
    free_slots,
    usable_slots,
)
from fennelfork.home._messages import Action, Task
from fennelfork.home._outcome import (
    cancel_attempts,
    enqueue,
    handle_failure,
    refuse,
)


def admit_task(blackboard: ShardBlackboard, task: Task) -> list[Action]:
    """Queue a new task, or refuse it.

    Raises:
        ValueError: if a job with the same name exists.
    """
    if task.job in blackboard.jobs:
        raise ValueError(f'job {task.job!r} already exists')
    job = Job(task=task, queued_ms=blackboard.clock.now_ms())
    blackboard.jobs[task.job] = job
    predicted = _predict_wait(blackboard, task)
    if not is_successful(predicted):
        return [refuse(blackboard, job, predicted.failure())]
    if predicted.unwrap():
        start_by_ms = task.deadline_ms - blackboard.shard_latencies.median_ms
        blackboard.set_timer(
            Timer(at_ms=start_by_ms, is_start_deadline=True, job=task.job)
        )
    blackboard.set_timer(Timer(at_ms=task.deadline_ms, job=task.job))
    return enqueue(blackboard, job)


def handle_timer(blackboard: ShardBlackboard, timer: Timer) -> list[Action]:
    """Handle a due timer of a job or an attempt."""
    if timer.attempt:
        return _handle_attempt_timer(blackboard, timer.attempt)
    job = blackboard.jobs.get(timer.job)
    if job is None or (
        timer.is_start_deadline and timer.job not in blackboard.queue
    ):
        return []
    expired = not_run(FailureCode.DEADLINE, 'the deadline cannot be met')
    cancels = cancel_attempts(blackboard, job, is_lost=False)
    return [refuse(blackboard, job, expired), *cancels]


def _handle_attempt_timer(
    blackboard: ShardBlackboard, attempt_number: int
) -> list[Action]:
    attempt = blackboard.attempts.get(attempt_number)
    if attempt is None:
        return []
    if attempt.cancelled:
        unconfirmed = not_run(
            FailureCode.CANCELLED,
            'the server did not confirm the cancellation',
        )
        return handle_failure(blackboard, attempt_number, unconfirmed)
    blackboard.overdue[attempt_number] = attempt
    return []


def _predict_wait(
    blackboard: ShardBlackboard, task: Task
) -> Result[float, Failure]:
    """Return the predicted queueing time of a task, or a failure."""
    code = blocking_reason(blackboard, task)
    if code is not None:
        return Err(not_run(code, 'no server of the shard can run it'))
    return blackboard.admission.admit(
        Arrival(
            flow=task.flow,
            request_id=task.request_id,
            weight=task.weight,
        ),
        _estimate_load(blackboard, task),
        blackboard.clock.now_ms(),
    )


def _estimate_load(blackboard: ShardBlackboard, task: Task) -> LoadEstimate:
    eligible = list(eligible_servers(blackboard, task))
    return LoadEstimate(
        slots=max(
            1, sum(usable_slots(blackboard, server) for server in eligible)
        ),
        free_slots=sum(free_slots(blackboard, server) for server in eligible),
        queued_ahead=blackboard.queue.estimate_ahead(
            task.flow, task.deadline_ms
        ),
        median_run_ms=blackboard.shard_latencies.median_ms,
        remaining_ms=task.deadline_ms - blackboard.clock.now_ms(),
    )
