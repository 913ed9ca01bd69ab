"""The caller of the soak, and what it may do next."""

import pytest

from fennelfork import Verdict
from fennelfork.once import CallerStep, OnceCaller
from fennelfork_bench.history._caller import (
    ConnectionCut,
    ConnectRefused,
    Ended,
    ExecuteAnswered,
    Malformed,
    Refused,
)
from fennelfork_bench.soak._caller import caller_event

_TRY = {'at_ms': 1.0, 'attempt': 'try-1'}
_CUT = ConnectionCut(**_TRY, detail='reset')
_UNSENT = ConnectRefused(**_TRY, detail='refused')


class TestCallerEvent:
    """Ends of tries in the words of the decision."""

    @pytest.mark.parametrize(
        ('end', 'step'),
        [
            (_CUT, CallerStep.ASK_AGAIN),
            (Malformed(**_TRY, detail='half'), CallerStep.ASK_AGAIN),
            (_UNSENT, CallerStep.RENEW),
            (
                Refused(
                    **_TRY,
                    reply_to='a',
                    code='shed',
                    verdict=Verdict.NOT_RUN,
                ),
                CallerStep.RENEW,
            ),
            (
                ExecuteAnswered(
                    **_TRY,
                    reply_to='a',
                    key=1,
                    outcome='done',
                    config_version=1,
                ),
                CallerStep.STOP,
            ),
        ],
    )
    def test_first_try(self, end: Ended, step: CallerStep) -> None:
        """Each end leads to the step that the operators' page names."""
        assert OnceCaller().next_step(caller_event(end), 1000) is step

    def test_doubt_goes_on(self) -> None:
        """A refused connection after a cut one allows no new ticket."""
        once = OnceCaller()
        once.next_step(caller_event(_CUT), 1000)
        step = once.next_step(caller_event(_UNSENT), 1000)
        assert step is CallerStep.ASK_AGAIN
