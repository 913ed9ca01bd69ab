"""Promises hold while the index changes under queries."""

import pytest
from bench_builders_faults import broken, cuts, run_under

from fennelfork_bench.history._caller import QueryAnswered
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._fault import Fault
from fennelfork_bench.soak._fault_index import NextSnapshot, Repartition

pytestmark = pytest.mark.process


class TestIndex:
    """The index moves on, server by server."""

    @pytest.mark.parametrize('fault', [NextSnapshot(), Repartition()], ids=repr)
    def test_change(self, rig: Rig, fault: Fault) -> None:
        """Each answer is of one snapshot, and the newest comes into use."""
        done = run_under(rig, fault)
        assert broken(done) == []
        assert cuts(done) == []
        seen = [end.snapshot for end in done.history.of(QueryAnswered)]
        assert set(seen) == {1, 2}
        assert seen[-1] == 2
