"""Promises hold while the platform fails."""

import pytest
from bench_builders_faults import answers, broken, cuts, run_under

from fennelfork import FailureCode, Verdict
from fennelfork_bench.history._caller import ExecuteAnswered, Refused
from fennelfork_bench.history._operator import PatchAccepted, PatchRefused
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._fault import Fault
from fennelfork_bench.soak._fault_platform import (
    PlatformFault,
    VmListDown,
)
from fennelfork_bench.soak._round import Load

pytestmark = pytest.mark.process

_FEW_ANSWERS = 50
_RACING = Load(callers=1, operators=5)


class TestPlatform:
    """Queries and executions need no platform call."""

    @pytest.mark.parametrize(
        'fault',
        [
            PlatformFault(hold_s=2, switches={'down': True}),
            PlatformFault(hold_s=2, switches={'slow_ms': 700}),
            PlatformFault(hold_s=2, switches={'refuse': True}),
            VmListDown(hold_s=2),
        ],
        ids=repr,
    )
    def test_no_call_needed(self, rig: Rig, fault: Fault) -> None:
        """Every request is answered as if nothing were wrong."""
        done = run_under(rig, fault)
        assert broken(done) == []
        assert cuts(done) == []
        # A ticket may end on its way, which no platform has to do with.
        ended = (FailureCode.TICKET.value, Verdict.NOT_RUN)
        refusals = [(end.code, end.verdict) for end in done.history.of(Refused)]
        assert set(refusals) <= {ended}
        assert answers(done) > _FEW_ANSWERS
        assert done.history.of(ExecuteAnswered)


class TestOperators:
    """Operators race while the key-value service fails."""

    @pytest.mark.parametrize(
        'fault',
        [
            PlatformFault(hold_s=2, switches={'lose_replies': 5}),
            PlatformFault(hold_s=2, switches={'stall_watches': True}),
            PlatformFault(hold_s=2, switches={'down': True}),
        ],
        ids=repr,
    )
    def test_races(self, rig: Rig, fault: Fault) -> None:
        """Accepted patches stay, refused ones change nothing."""
        done = run_under(rig, fault, load=_RACING)
        assert broken(done) == []
        assert done.history.of(PatchAccepted)
        assert done.history.of(PatchRefused)
