"""Shared parts of the experiments on answers, on a small fleet."""

import pytest

from fennelfork_bench.callers._group import run_callers
from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.experiments._fleet import (
    FrontSize,
    apply_hedge_policy,
    inject_faults,
    start_front_fleet,
)
from fennelfork_bench.experiments._load import (
    collect_violations,
    front_load_spec,
    measure_load,
    merge_rounds,
)
from fennelfork_bench.experiments._metrics import NO_HEDGE
from fennelfork_bench.rig._config import fetch_version
from fennelfork_bench.rig._process import Rig, RigError

_SIZE = FrontSize(shards=2, servers=1, daemons=2)
_COUNT = 40


@pytest.mark.process
class TestMeasure:
    """One load on a fleet of two daemons and two servers."""

    def test_tallies_counts_and_processor_time(self, rig: Rig) -> None:
        """Tally, server counts and processor time reflect the load."""
        fleet = start_front_fleet(rig, _SIZE, seed=1)
        load = front_load_spec(fleet, _SIZE, count=_COUNT, deadline_ms=20_000)
        first = measure_load(fleet, load)
        again = measure_load(fleet, load)
        both = merge_rounds((first, again))
        assert not collect_violations((first, again))
        assert first.tally.counts['complete'] == _COUNT
        assert first.required == _COUNT * _SIZE.shards
        assert first.counts['ran'] >= first.required
        assert first.daemon_us > 0
        assert both.tally.counts['complete'] == 2 * _COUNT
        assert both.counts['ran'] == first.counts['ran'] + again.counts['ran']

    def test_injected_faults_are_counted(self, rig: Rig) -> None:
        """Requests of the load meet the injected faults."""
        fleet = start_front_fleet(rig, _SIZE, seed=1)
        rule = {'kind': 'lose_reply', 'limit': 3}
        inject_faults(fleet, 's0-0', rules=[rule])
        measured = measure_load(
            fleet, front_load_spec(fleet, _SIZE, count=_COUNT)
        )
        assert measured.counts['fault_lose_reply'] == 3
        assert not measured.tally.violations

    def test_policy_is_active_on_all_daemons(self, rig: Rig) -> None:
        """A change of the hedge policy is a new version on every daemon."""
        fleet = start_front_fleet(rig, _SIZE, seed=1)
        apply_hedge_policy(fleet, NO_HEDGE)
        assert [fetch_version(each) for each in fleet.operators] == [2, 2]


@pytest.mark.process
class TestRunCallers:
    """A load that is split over caller processes."""

    def test_failed_caller_is_an_error(self, rig: Rig) -> None:
        """A caller process that exits with an error fails the experiment."""
        load = LoadSpec(entries='127.0.0.1:9', rate_per_s=50, count=1, keys=0)
        with pytest.raises(RigError, match='caller-0'):
            run_callers(rig, load)
