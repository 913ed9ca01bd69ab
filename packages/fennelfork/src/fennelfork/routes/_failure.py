"""Failure of a request, merged from the failures of its sub-requests."""

import functools
from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.routes._returns import spread_return_ms
from fennelfork.routes._sub_request import SubRequest

# Long enough for most pauses of a backend server, which last some tenths of a
# second, and short enough to leave a caller time for its own retry.
RETRY_AFTER_MS: Final = 250
# Callers whose requests failed together return one after the other, by at most
# this share of the time before and after it.
_RETRY_SPREAD: Final = 0.5


def merge_failures(
    sub_requests: Iterable[SubRequest[Any]], *, timed_out: bool
) -> Failure:
    """Merge the failures of all sub-requests of a request.

    Args:
        sub_requests: sub-requests of the request, at least one.
        timed_out: whether the deadline of the request has passed.

    Returns:
        The failure of the request. The verdict is `NOT_RUN`, with a time after
        which a retry may help, only if no sub-request may have run.
    """
    known = list(sub_requests)
    verdicts = [sub_request.verdict for sub_request in known]
    verdict = functools.reduce(Verdict.join, verdicts)
    unanswered = [
        sub_request for sub_request in known if sub_request.part is None
    ]
    worst = next(iter(unanswered or known))
    failure = worst.failure.with_verdict(verdict)
    if timed_out and verdict is not Verdict.NOT_RUN:
        failure = attrs.evolve(failure, code=FailureCode.DEADLINE)
    if verdict is Verdict.NOT_RUN:
        return attrs.evolve(failure, retry_after_ms=RETRY_AFTER_MS)
    return failure


def spread_retry(failure: Failure, request_id: str, left_ms: float) -> Failure:
    """Return the failure with a retry time of its own for each request.

    Args:
        failure: merged failure of the request.
        request_id: id of the request.
        left_ms: time until the deadline of the request.

    Returns:
        The failure, unchanged if it has no time after which a retry may help.
    """
    if failure.retry_after_ms is None:
        return failure
    width_ms = failure.retry_after_ms * _RETRY_SPREAD
    retry_after_ms = spread_return_ms(
        request_id,
        failure.retry_after_ms - width_ms,
        failure.retry_after_ms + width_ms,
        left_ms,
    )
    return attrs.evolve(failure, retry_after_ms=retry_after_ms)


def classify_reset(failure: Failure, *, is_warmed_up: bool) -> Failure:
    """Classify the reset of a new connection before its first response.

    Soon after the start of a daemon, such a reset is attributed to the
    connection limit of the server, which connections from before a power loss
    may still fill. The reset then does not count as a failure or crash of the
    server. The attempt counts in any case, as the server may have run it.

    Args:
        failure: failure of an attempt, not necessarily a reset.
        is_warmed_up: whether the daemon started at least some seconds ago.

    Returns:
        The failure with the code or the `connection_lost` flag adjusted, or the
        unchanged failure if it is no reset of a new connection.
    """
    may_have_run = failure.verdict is Verdict.MAY_HAVE_RUN
    if not may_have_run or failure.code is not FailureCode.QUEUE_FULL:
        return failure
    if is_warmed_up:
        return attrs.evolve(failure, code=FailureCode.UNREACHABLE)
    return attrs.evolve(failure, connection_lost=False)
