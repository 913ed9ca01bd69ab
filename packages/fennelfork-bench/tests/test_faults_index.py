"""Guard against mixed snapshots when the index changes under queries."""

import pytest
from bench_builders_faults import (
    describe_cut_connections,
    describe_violations,
    run_with_faults,
)

from fennelfork_bench.history._caller import QueryAnswered
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._fault import Fault
from fennelfork_bench.soak._fault_index import NextSnapshot, Repartition

pytestmark = pytest.mark.process


class TestIndex:
    """Tests with a new snapshot that servers load one by one."""

    @pytest.mark.parametrize('fault', [NextSnapshot(), Repartition()], ids=repr)
    def test_new_snapshot(self, rig: Rig, fault: Fault) -> None:
        """Each answer uses one snapshot, and the last one the newest."""
        done = run_with_faults(rig, fault)
        assert describe_violations(done) == []
        assert describe_cut_connections(done) == []
        snapshots = [
            end.snapshot for end in done.history.of_type(QueryAnswered)
        ]
        assert set(snapshots) == {1, 2}
        assert snapshots[-1] == 2
