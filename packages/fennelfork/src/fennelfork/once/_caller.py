"""Next steps of a caller that has sent a non-idempotent request.

The daemons execute a request id at most once. The caller has to avoid a
second id for the same operation; this module decides when a new id is safe.
"""

import enum
import functools

import attrs

from fennelfork._verdict import Verdict


@enum.unique
class CallerStep(enum.Enum):
    """Next step of a caller that sent a non-idempotent request.

    `ASK_AGAIN`: send the same id under the same ticket, to any daemon. `RENEW`:
    obtain a new ticket, and thus use a new id. `LOOK_UP`: stop sending and read
    the record after the ticket has expired. `STOP`: the outcome is known.
    """

    ASK_AGAIN = 'ask_again'
    RENEW = 'renew'
    LOOK_UP = 'look_up'
    STOP = 'stop'


@attrs.frozen(kw_only=True)
class ConnectFailed:
    """No connection could be opened, so no byte of the request was sent."""


@attrs.frozen(kw_only=True)
class AnswerLost:
    """The request may have been sent, and no complete answer arrived."""


@attrs.frozen(kw_only=True)
class AnswerReceived:
    """An answer arrived, with an outcome or with the verdict of an error.

    Attributes:
        verdict: `RAN` with an outcome, otherwise the verdict of the error.
        has_outcome: whether the answer contains the outcome.
    """

    verdict: Verdict
    has_outcome: bool = False


CallerEvent = ConnectFailed | AnswerLost | AnswerReceived


@attrs.define(kw_only=True)
class OnceCaller:
    """Request of a caller that must be executed at most once.

    Attributes:
        is_in_doubt: whether an attempt under the current ticket may have run.
    """

    is_in_doubt: bool = False

    def next_step(
        self, event: CallerEvent, ticket_left_ms: float
    ) -> CallerStep:
        """Return the next step of the caller after an event.

        Args:
            event: result of the last attempt.
            ticket_left_ms: remainder of `ticket_ms`, counted from the arrival
                of the ticket.
        """
        step = _next_step(event, self.is_in_doubt)
        self.is_in_doubt = step is CallerStep.ASK_AGAIN
        if self.is_in_doubt and ticket_left_ms <= 0:
            return CallerStep.LOOK_UP
        return step


@functools.singledispatch
def _next_step(event: CallerEvent, is_in_doubt: bool) -> CallerStep:
    raise TypeError(f'unknown caller event: {event!r}')


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
