"""Handling of responses and failures of attempts."""

from typing import Final

from fennelfork._verdict import Failure, FailureCode, Verdict, not_run
from fennelfork.home._attribution import (
    is_slow,
    record_failure,
    record_slow_attempt,
    record_success,
)
from fennelfork.home._blackboard import Attempt, Job, ShardBlackboard, Timer
from fennelfork.home._dispatch import eligible_servers
from fennelfork.home._messages import Action, Cancel, TaskAnswered, TaskRefused

# Time after which the slot of an unconfirmed cancellation is released.
_CANCEL_TIMEOUT_MS: Final = 2000.0
_FINAL_CODES: Final = frozenset(
    (
        FailureCode.BAD_REQUEST,
        FailureCode.DEADLINE,
        FailureCode.CANCELLED,
    )
)


def handle_reply(
    blackboard: ShardBlackboard, attempt_number: int
) -> list[Action]:
    """Handle the valid response of an attempt."""
    attempt = end_attempt(blackboard, attempt_number)
    if attempt is None:
        return []
    _record_service_time(blackboard, attempt)
    blackboard.retry_budget.deposit()
    record_success(blackboard, attempt)
    job = blackboard.jobs.pop(attempt.task.job, None)
    if job is None:
        return []
    job.active_attempts.discard(attempt_number)
    blackboard.queue.remove(job.task.job)
    answered = TaskAnswered(
        task=job.task,
        attempt=attempt_number,
        server=attempt.server,
        stats=job.stats,
    )
    return [answered, *cancel_attempts(blackboard, job, is_lost=attempt.hedge)]


def handle_failure(
    blackboard: ShardBlackboard, attempt_number: int, failure: Failure
) -> list[Action]:
    """Handle a failed attempt: await others, retry, or refuse the job."""
    attempt = end_attempt(blackboard, attempt_number)
    if attempt is None:
        return []
    if failure.verdict is not Verdict.NOT_RUN:
        _record_service_time(blackboard, attempt)
    record_failure(blackboard, attempt, failure)
    job = blackboard.jobs.get(attempt.task.job)
    if job is None:
        return []
    job.active_attempts.discard(attempt_number)
    job.record_failed_attempt(failure.verdict)
    if job.active_attempts:
        return []
    if _may_retry(blackboard, job, failure):
        job.retries += 1
        return enqueue(blackboard, job)
    return [refuse(blackboard, job, failure)]


def end_attempt(
    blackboard: ShardBlackboard, attempt_number: int
) -> Attempt | None:
    """Release the slot of an attempt that has ended."""
    attempt = blackboard.attempts.pop(attempt_number, None)
    if attempt is not None:
        blackboard.slots.release(attempt_number)
        blackboard.overdue.pop(attempt_number, None)
    return attempt


def _record_service_time(blackboard: ShardBlackboard, attempt: Attempt) -> None:
    held_ms = blackboard.clock.now_ms() - attempt.sent_ms
    blackboard.admission.record_service_time(held_ms)


def cancel_attempts(
    blackboard: ShardBlackboard, job: Job, *, is_lost: bool
) -> list[Action]:
    """Cancel all active attempts of a job that has ended.

    Args:
        blackboard: state of the shard.
        job: job that has ended.
        is_lost: whether a hedge was answered before the first attempt.
    """
    return [
        _cancel(blackboard, attempt_number, is_lost=is_lost)
        for attempt_number in sorted(job.active_attempts)
    ]


def enqueue(blackboard: ShardBlackboard, job: Job) -> list[Action]:
    """Queue a job; if the queue is full, refuse one of its jobs."""
    evicted = blackboard.queue.push(
        job.task.job,
        job.task.flow,
        job.task.deadline_ms,
    )
    if evicted is None:
        return []
    full = not_run(
        FailureCode.QUEUE_FULL,
        'the queue of the home daemon is full',
        retry_after_ms=max(1, int(blackboard.admission.service_ms)),
    )
    return [refuse(blackboard, blackboard.jobs[evicted], full)]


def refuse(
    blackboard: ShardBlackboard, job: Job, failure: Failure
) -> TaskRefused:
    """End a job with a failure that has the verdict on all attempts."""
    blackboard.jobs.pop(job.task.job)
    blackboard.queue.remove(job.task.job)
    return TaskRefused(
        task=job.task,
        failure=failure.with_verdict(job.verdict),
        stats=job.stats,
    )


def _cancel(
    blackboard: ShardBlackboard, attempt_number: int, *, is_lost: bool
) -> Cancel:
    attempt = blackboard.attempts[attempt_number]
    slow = is_slow(blackboard, attempt) or (is_lost and not attempt.hedge)
    if slow:
        record_slow_attempt(blackboard, attempt)
    attempt.cancelled = True
    blackboard.overdue.pop(attempt_number, None)
    now_ms = blackboard.clock.now_ms()
    blackboard.set_timer(
        Timer(at_ms=now_ms + _CANCEL_TIMEOUT_MS, attempt=attempt_number)
    )
    return Cancel(
        attempt=attempt_number,
        task=attempt.task,
        server=attempt.server,
        suspect=slow,
    )


def _may_retry(blackboard: ShardBlackboard, job: Job, failure: Failure) -> bool:
    if failure.code in _FINAL_CODES:
        return False
    if job.verdict is not Verdict.NOT_RUN and not job.task.idempotent:
        return False
    if not any(eligible_servers(blackboard, job.task)):
        return False
    median_run_ms = blackboard.shard_latencies.median_ms
    if blackboard.clock.now_ms() + median_run_ms >= job.task.deadline_ms:
        return False
    # A shed attempt cost the server little, and the backoff of the server
    # limits the number of retries.
    return (
        failure.code is FailureCode.SHED or blackboard.retry_budget.withdraw()
    )
