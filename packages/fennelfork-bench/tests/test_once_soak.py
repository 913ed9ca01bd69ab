"""Next steps of the soak caller after an attempt."""

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
from fennelfork_bench.soak._caller import build_caller_event

_ATTEMPT = {'at_ms': 1.0, 'attempt': 'try-1'}
_CUT = ConnectionCut(**_ATTEMPT, detail='reset')
_UNSENT = ConnectRefused(**_ATTEMPT, detail='refused')


class TestCallerEvent:
    """Conversion of attempt outcomes to caller events."""

    @pytest.mark.parametrize(
        ('end', 'step'),
        [
            (_CUT, CallerStep.ASK_AGAIN),
            (Malformed(**_ATTEMPT, detail='half'), CallerStep.ASK_AGAIN),
            (_UNSENT, CallerStep.RENEW),
            (
                Refused(
                    **_ATTEMPT,
                    reply_to='a',
                    code='shed',
                    verdict=Verdict.NOT_RUN,
                ),
                CallerStep.RENEW,
            ),
            (
                ExecuteAnswered(
                    **_ATTEMPT,
                    reply_to='a',
                    key=1,
                    outcome='done',
                    config_version=1,
                ),
                CallerStep.STOP,
            ),
        ],
    )
    def test_first_attempt(self, end: Ended, step: CallerStep) -> None:
        """Each outcome leads to the step in the operators' documentation."""
        assert OnceCaller().next_step(build_caller_event(end), 1000) is step

    def test_uncertainty_persists(self) -> None:
        """A refused connection after a cut connection allows no new ticket."""
        once = OnceCaller()
        once.next_step(build_caller_event(_CUT), 1000)
        step = once.next_step(build_caller_event(_UNSENT), 1000)
        assert step is CallerStep.ASK_AGAIN
