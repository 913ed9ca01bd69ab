"""What a caller may do after each answer."""

import pytest

from fennelfork import Verdict
from fennelfork.once import (
    AnswerLost,
    AnswerReceived,
    CallerEvent,
    CallerStep,
    ConnectFailed,
    OnceCaller,
)

_DOUBT = AnswerReceived(verdict=Verdict.MAY_HAVE_RUN)
_REFUSED = AnswerReceived(verdict=Verdict.NOT_RUN)


class TestOnceCaller:
    """The steps of a caller that wants one deed done once."""

    @pytest.mark.parametrize(
        ('event', 'step'),
        [
            (
                AnswerReceived(verdict=Verdict.RAN, has_outcome=True),
                CallerStep.STOP,
            ),
            (AnswerReceived(verdict=Verdict.RAN), CallerStep.LOOK_UP),
            (_REFUSED, CallerStep.RENEW),
            (_DOUBT, CallerStep.ASK_AGAIN),
            (AnswerLost(), CallerStep.ASK_AGAIN),
            (ConnectFailed(), CallerStep.RENEW),
        ],
    )
    def test_first_attempt(self, event: CallerEvent, step: CallerStep) -> None:
        """Only a true refusal, or nothing sent, allows a new ticket."""
        assert OnceCaller().next_step(event, 1000) is step

    @pytest.mark.parametrize('doubt', [_DOUBT, AnswerLost()])
    def test_doubt_outlives_a_refused_connection(
        self,
        doubt: CallerEvent,
    ) -> None:
        """That nothing was sent now says nothing of the attempt before."""
        caller = OnceCaller()
        caller.next_step(doubt, 1000)
        assert caller.next_step(ConnectFailed(), 1000) is CallerStep.ASK_AGAIN
        assert caller.next_step(ConnectFailed(), 0) is CallerStep.LOOK_UP

    def test_a_true_refusal_ends_the_doubt(self) -> None:
        """The daemon of the ticket settles it, and a new ticket is clean."""
        caller = OnceCaller()
        caller.next_step(AnswerLost(), 1000)
        assert caller.next_step(_REFUSED, 0) is CallerStep.RENEW
        assert caller.next_step(ConnectFailed(), 1000) is CallerStep.RENEW

    def test_looks_up_when_the_ticket_has_ended(self) -> None:
        """In doubt past the ticket's end, a caller stops asking."""
        assert OnceCaller().next_step(_DOUBT, 0) is CallerStep.LOOK_UP
