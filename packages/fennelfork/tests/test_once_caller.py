"""Next steps of a caller after each event."""

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

_MAY_HAVE_RUN = AnswerReceived(verdict=Verdict.MAY_HAVE_RUN)
_NOT_RUN = AnswerReceived(verdict=Verdict.NOT_RUN)


class TestOnceCaller:
    """Steps of a caller that wants one operation executed at most once."""

    @pytest.mark.parametrize(
        ('event', 'step'),
        [
            (
                AnswerReceived(verdict=Verdict.RAN, has_outcome=True),
                CallerStep.STOP,
            ),
            (AnswerReceived(verdict=Verdict.RAN), CallerStep.LOOK_UP),
            (_NOT_RUN, CallerStep.RENEW),
            (_MAY_HAVE_RUN, CallerStep.ASK_AGAIN),
            (AnswerLost(), CallerStep.ASK_AGAIN),
            (ConnectFailed(), CallerStep.RENEW),
        ],
    )
    def test_step_after_the_first_attempt(
        self, event: CallerEvent, step: CallerStep
    ) -> None:
        """Only a `NOT_RUN` verdict or a failed connect allows a new ticket."""
        assert OnceCaller().next_step(event, 1000) is step

    @pytest.mark.parametrize('event', [_MAY_HAVE_RUN, AnswerLost()])
    def test_doubt_persists_after_a_failed_connect(
        self,
        event: CallerEvent,
    ) -> None:
        """A failed connect proves nothing about the attempt before."""
        caller = OnceCaller()
        caller.next_step(event, 1000)
        assert caller.next_step(ConnectFailed(), 1000) is CallerStep.ASK_AGAIN
        assert caller.next_step(ConnectFailed(), 0) is CallerStep.LOOK_UP

    def test_not_run_verdict_ends_the_doubt(self) -> None:
        """A `NOT_RUN` verdict ends the doubt, so a new ticket is safe."""
        caller = OnceCaller()
        caller.next_step(AnswerLost(), 1000)
        assert caller.next_step(_NOT_RUN, 0) is CallerStep.RENEW
        assert caller.next_step(ConnectFailed(), 1000) is CallerStep.RENEW

    def test_looks_up_after_the_ticket_expired(self) -> None:
        """A caller in doubt stops sending after its ticket has expired."""
        assert OnceCaller().next_step(_MAY_HAVE_RUN, 0) is CallerStep.LOOK_UP
