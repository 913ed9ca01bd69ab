"""What to do with a non-idempotent request that came in."""

import functools

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._verdict import Failure
from fennelfork.once._state import Accepted, Done, Ended, OnceState, Sent


@attrs.frozen(kw_only=True)
class RunIt:
    """The request is new: whoever holds this runs it."""


@attrs.frozen(kw_only=True)
class AwaitIt:
    """The request is being run: wait for that run."""


@attrs.frozen(kw_only=True)
class AnswerIt:
    """The request has ended: give this answer."""

    answer: Result[str, Failure]


OnceAdmission = RunIt | AwaitIt | AnswerIt


@functools.singledispatch
def repeat_admission(state: OnceState) -> OnceAdmission:
    """Decide on a repeat by the state of the first."""
    raise TypeError(f'not a state: {state!r}')


@repeat_admission.register
def _repeat_open(state: Accepted | Sent) -> OnceAdmission:
    return AwaitIt()


@repeat_admission.register
def _repeat_done(state: Done) -> OnceAdmission:
    return AnswerIt(answer=Success(state.outcome))


@repeat_admission.register
def _repeat_ended(state: Ended) -> OnceAdmission:
    return AnswerIt(answer=Failed(state.failure))
