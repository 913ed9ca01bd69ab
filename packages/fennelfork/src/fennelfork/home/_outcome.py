"""What follows from a reply, a failure or a confirmed cancel."""

from typing import Final

from fennelfork._verdict import Failure, FailureCode, Verdict, not_run
from fennelfork.home._blame import blame, is_slow, note_slow, praise
from fennelfork.home._board import Attempt, Board, Job, Timer
from fennelfork.home._dispatch import holders
from fennelfork.home._messages import Action, Cancel, TaskAnswered, TaskRefused

# A server that confirms no cancel is not waited for any longer than this.
_ABANDON_MS: Final = 2000.0
_FINAL_CODES: Final = frozenset(
    (
        FailureCode.BAD_REQUEST,
        FailureCode.DEADLINE,
        FailureCode.CANCELLED,
    )
)


def replied(board: Board, number: int) -> list[Action]:
    """Take the checked reply of an attempt."""
    attempt = end_attempt(board, number)
    if attempt is None:
        return []
    _note_service(board, attempt)
    board.retry_budget.deposit()
    praise(board, attempt)
    job = board.jobs.pop(attempt.task.job, None)
    if job is None:
        return []
    job.active.discard(number)
    board.queue.remove(job.task.job)
    answered = TaskAnswered(
        task=job.task,
        attempt=number,
        server=attempt.server,
        effort=job.effort,
    )
    return [answered, *cancel_copies(board, job, lost=attempt.hedge)]


def failed(board: Board, number: int, failure: Failure) -> list[Action]:
    """Take the failure of an attempt: wait, try again, or give up."""
    attempt = end_attempt(board, number)
    if attempt is None:
        return []
    if failure.verdict is not Verdict.NOT_RUN:
        _note_service(board, attempt)
    blame(board, attempt, failure)
    job = board.jobs.get(attempt.task.job)
    if job is None:
        return []
    job.active.discard(number)
    job.ended(failure.verdict)
    if job.active:
        return []
    if _may_retry(board, job, failure):
        job.retries += 1
        return requeue(board, job)
    return [refuse(board, job, failure)]


def end_attempt(board: Board, number: int) -> Attempt | None:
    """Give back the slot of an attempt that has ended, once."""
    attempt = board.attempts.pop(number, None)
    if attempt is not None:
        board.slots.release(number)
        board.overdue.pop(number, None)
    return attempt


def _note_service(board: Board, attempt: Attempt) -> None:
    held_ms = board.clock.now_ms() - attempt.sent_ms
    board.admission.note_service(held_ms)


def cancel_copies(board: Board, job: Job, *, lost: bool) -> list[Action]:
    """Order the cancel of all copies of a job that has ended.

    Args:
        board: the state.
        job: the job.
        lost: whether its first copy lost against a hedge.
    """
    return [_cancel(board, number, lost=lost) for number in sorted(job.active)]


def requeue(board: Board, job: Job) -> list[Action]:
    """Let a job wait for a slot; a full queue puts some job out."""
    victim = board.queue.push(
        job.task.job,
        job.task.flow,
        job.task.deadline_ms,
    )
    if victim is None:
        return []
    full = not_run(
        FailureCode.QUEUE_FULL,
        'the queue of the home is full',
        retry_after_ms=max(1, int(board.admission.service_ms)),
    )
    return [refuse(board, board.jobs[victim], full)]


def refuse(board: Board, job: Job, failure: Failure) -> TaskRefused:
    """End a job without an answer, with the verdict on all its copies."""
    board.jobs.pop(job.task.job)
    board.queue.remove(job.task.job)
    return TaskRefused(
        task=job.task,
        failure=failure.with_verdict(job.verdict),
        effort=job.effort,
    )


def _cancel(board: Board, number: int, *, lost: bool) -> Cancel:
    attempt = board.attempts[number]
    slow = is_slow(board, attempt) or (lost and not attempt.hedge)
    if slow:
        note_slow(board, attempt)
    attempt.cancelled = True
    board.overdue.pop(number, None)
    now_ms = board.clock.now_ms()
    board.set_timer(Timer(at_ms=now_ms + _ABANDON_MS, attempt=number))
    return Cancel(
        attempt=number,
        task=attempt.task,
        server=attempt.server,
        suspect=slow,
    )


def _may_retry(board: Board, job: Job, failure: Failure) -> bool:
    if failure.code in _FINAL_CODES:
        return False
    if job.verdict is not Verdict.NOT_RUN and not job.task.idempotent:
        return False
    if not any(holders(board, job.task)):
        return False
    least_ms = board.seen.median_ms
    if board.clock.now_ms() + least_ms >= job.task.deadline_ms:
        return False
    # A shed costs its server next to nothing, and that server is left alone
    # for a while; with a second home about, sheds are part of the work.
    return failure.code is FailureCode.SHED or board.retry_budget.withdraw()
