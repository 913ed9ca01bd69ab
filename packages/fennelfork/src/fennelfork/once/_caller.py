"""What the caller of a non-idempotent request may do next.

The system keeps a request id from running twice whatever callers do. That the
same deed is not asked for under two ids is the caller's part, decided here.
"""

import enum
import functools

import attrs

from fennelfork._verdict import Verdict


@enum.unique
class CallerStep(enum.Enum):
    """What to do next.

    `ASK_AGAIN`: the same id under the same ticket, at any daemon. `RENEW`:
    take a new ticket, and so a new id. `LOOK_UP`: ask no more; search for the
    record once the ticket has ended. `STOP`: the outcome is known.
    """

    ASK_AGAIN = 'ask_again'
    RENEW = 'renew'
    LOOK_UP = 'look_up'
    STOP = 'stop'


@attrs.frozen(kw_only=True)
class ConnectFailed:
    """No connection could be opened, so no byte left the caller."""


@attrs.frozen(kw_only=True)
class AnswerLost:
    """Something may have been sent, and no whole answer came back."""


@attrs.frozen(kw_only=True)
class AnswerReceived:
    """The system answered; without an outcome, it gave a verdict.

    Attributes:
        verdict: `RAN` with the outcome, or that of the error.
        has_outcome: whether the outcome came along.
    """

    verdict: Verdict
    has_outcome: bool = False


CallerEvent = ConnectFailed | AnswerLost | AnswerReceived


@attrs.define(kw_only=True)
class OnceCaller:
    """One deed that a caller wants done at most once.

    Attributes:
        in_doubt: whether an attempt under the present ticket may have run.
    """

    is_in_doubt: bool = False

    def next_step(
        self, event: CallerEvent, ticket_left_ms: float
    ) -> CallerStep:
        """Decide on the next step.

        Args:
            event: what came of the last attempt.
            ticket_left_ms: what is left of `ticket_ms`, counted by the caller
                from when the ticket arrived.
        """
        step = _next_step(event, self.is_in_doubt)
        self.is_in_doubt = step is CallerStep.ASK_AGAIN
        if self.is_in_doubt and ticket_left_ms <= 0:
            return CallerStep.LOOK_UP
        return step


@functools.singledispatch
def _next_step(event: CallerEvent, is_in_doubt: bool) -> CallerStep:
    raise TypeError(f'not an event: {event!r}')


@_next_step.register
def _step_after_failed_connect(
    event: ConnectFailed, is_in_doubt: bool
) -> CallerStep:
    return CallerStep.ASK_AGAIN if is_in_doubt else CallerStep.RENEW


@_next_step.register
def _step_after_lost_answer(event: AnswerLost, is_in_doubt: bool) -> CallerStep:
    return CallerStep.ASK_AGAIN


@_next_step.register
def _step_after_answer(event: AnswerReceived, is_in_doubt: bool) -> CallerStep:
    if event.has_outcome:
        return CallerStep.STOP
    if event.verdict is Verdict.NOT_RUN:
        return CallerStep.RENEW
    if event.verdict is Verdict.RAN:
        return CallerStep.LOOK_UP
    return CallerStep.ASK_AGAIN
