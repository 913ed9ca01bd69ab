"""Admission of a non-idempotent request that arrives at its daemon."""

import functools

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._verdict import Failure
from fennelfork.once._state import Accepted, Done, Ended, OnceState, Sent


@attrs.frozen(kw_only=True)
class StartExecution:
    """The request is new: start its execution."""


@attrs.frozen(kw_only=True)
class AwaitRunning:
    """The request is running: wait for the result."""


@attrs.frozen(kw_only=True)
class ReplayAnswer:
    """The request has finished: return the stored answer.

    Attributes:
        answer: stored outcome or failure.
    """

    answer: Result[str, Failure]


OnceAdmission = StartExecution | AwaitRunning | ReplayAnswer


@functools.singledispatch
def admit_duplicate(state: OnceState) -> OnceAdmission:
    """Decide on a duplicate request from the state of the first one."""
    raise TypeError(f'unknown request state: {state!r}')


@admit_duplicate.register
def _admit_duplicate_open(state: Accepted | Sent) -> OnceAdmission:
    return AwaitRunning()


@admit_duplicate.register
def _admit_duplicate_done(state: Done) -> OnceAdmission:
    return ReplayAnswer(answer=Success(state.outcome))


@admit_duplicate.register
def _admit_duplicate_ended(state: Ended) -> OnceAdmission:
    return ReplayAnswer(answer=Failed(state.failure))
