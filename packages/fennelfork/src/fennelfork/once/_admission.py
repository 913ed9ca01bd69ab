"""What to do with a non-idempotent request that came in."""

import functools

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._verdict import Failure
from fennelfork.once._state import Accepted, Done, Ended, OnceState, Sent


@attrs.frozen(kw_only=True)
class StartExecution:
    """The request is new: whoever holds this runs it."""


@attrs.frozen(kw_only=True)
class AwaitRunning:
    """The request is being run: wait for that run."""


@attrs.frozen(kw_only=True)
class ReplayAnswer:
    """The request has ended: give this answer."""

    answer: Result[str, Failure]


OnceAdmission = StartExecution | AwaitRunning | ReplayAnswer


@functools.singledispatch
def admit_duplicate(state: OnceState) -> OnceAdmission:
    """Decide on a repeat by the state of the first."""
    raise TypeError(f'not a state: {state!r}')


@admit_duplicate.register
def _admit_duplicate_open(state: Accepted | Sent) -> OnceAdmission:
    return AwaitRunning()


@admit_duplicate.register
def _admit_duplicate_done(state: Done) -> OnceAdmission:
    return ReplayAnswer(answer=Success(state.outcome))


@admit_duplicate.register
def _admit_duplicate_ended(state: Ended) -> OnceAdmission:
    return ReplayAnswer(answer=Failed(state.failure))
