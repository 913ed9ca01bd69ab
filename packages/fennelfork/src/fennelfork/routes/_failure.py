"""Why a request without a success failed, in one failure."""

import functools
from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.routes._leg import Leg

# When asking again may help: pauses of a server last some 300 ms, and a
# caller has to have time left for its own next try.
RETRY_AFTER_MS: Final = 250


def failure_of(legs: Iterable[Leg[Any]], *, timed_out: bool) -> Failure:
    """Join the failures of all parts of a request.

    Args:
        legs: at least one.
        timed_out: whether the time of the request is over.

    Returns:
        `NOT_RUN`, with a time to ask again, only if no part may have run.
    """
    known = list(legs)
    verdicts = [leg.verdict for leg in known]
    verdict = functools.reduce(Verdict.join, verdicts)
    unanswered = [leg for leg in known if leg.part is None]
    worst = next(iter(unanswered or known))
    failure = worst.failure.with_verdict(verdict)
    if timed_out and verdict is not Verdict.NOT_RUN:
        failure = attrs.evolve(failure, code=FailureCode.DEADLINE)
    if verdict is Verdict.NOT_RUN:
        return attrs.evolve(failure, retry_after_ms=RETRY_AFTER_MS)
    return failure


def weigh_reset(failure: Failure, *, settled: bool) -> Failure:
    """Judge the reset of a new connection that had carried nothing back.

    Soon after a start it is the server's limit, which connections of before a
    loss of power still fill: no arrival, no attempt, no fault of the server, and
    no sign that it ended. Later, limits are kept, so the server itself resets what it gets:
    each is paid for as a repeat, and counts against the server.

    Args:
        failure: of a call, perhaps another one.
        settled: whether the start of this daemon is some seconds ago.
    """
    may_have_run = failure.verdict is Verdict.MAY_HAVE_RUN
    if not may_have_run or failure.code is not FailureCode.QUEUE_FULL:
        return failure
    if settled:
        return attrs.evolve(failure, code=FailureCode.UNREACHABLE)
    return attrs.evolve(failure, broken_off=False)
