"""Guard against violated guarantees when the platform fails."""

import pytest
from bench_builders_faults import (
    count_answers,
    describe_cut_connections,
    describe_violations,
    run_with_faults,
)

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

_MIN_ANSWERS = 50
_CONFLICTING_PATCHES = Load(callers=1, operators=5)


class TestPlatform:
    """Tests of queries and executions during platform faults."""

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
    def test_requests_without_platform(self, rig: Rig, fault: Fault) -> None:
        """Platform faults cause no failure except expired tickets."""
        done = run_with_faults(rig, fault)
        assert describe_violations(done) == []
        assert describe_cut_connections(done) == []
        # A ticket may expire in flight; this is unrelated to the platform.
        expired_ticket = (FailureCode.TICKET.value, Verdict.NOT_RUN)
        refusals = [
            (end.code, end.verdict) for end in done.history.of_type(Refused)
        ]
        assert set(refusals) <= {expired_ticket}
        assert count_answers(done) > _MIN_ANSWERS
        assert done.history.of_type(ExecuteAnswered)


class TestOperators:
    """Tests of concurrent patches during store faults."""

    @pytest.mark.parametrize(
        'fault',
        [
            PlatformFault(hold_s=2, switches={'lose_replies': 5}),
            PlatformFault(hold_s=2, switches={'stall_watches': True}),
            PlatformFault(hold_s=2, switches={'down': True}),
        ],
        ids=repr,
    )
    def test_conflicting_patches(self, rig: Rig, fault: Fault) -> None:
        """Accepted patches persist, and refused patches change nothing."""
        done = run_with_faults(rig, fault, load=_CONFLICTING_PATCHES)
        assert describe_violations(done) == []
        assert done.history.of_type(PatchAccepted)
        assert done.history.of_type(PatchRefused)
