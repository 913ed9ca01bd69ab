"""Refusals tell the truth about what ran."""

import pytest
from bench_builders_faults import running_trial

from fennelfork_bench.history._caller import Refused
from fennelfork_bench.history._server import QueryRan
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.soak._servers import order
from fennelfork_bench.soak._trial import Trial

pytestmark = pytest.mark.process

_CAP_S = 20
_REFUSALS = 8


def _refusals(running: Trial) -> int:
    noted = running.recorder.events
    return sum(isinstance(event, Refused) for event in noted)


class TestVerdicts:
    """A sub-query ran on one replica and was refused by the other."""

    def test_lost_reply_then_refused(self, rig: Rig) -> None:
        """The refusal of the query does not say that nothing ran."""
        running = running_trial(rig)
        first, second = (
            running.fleet.backends[server.name]
            for server in running.front.shards[0].servers
        )
        lost = {'kind': 'lose_reply', 'call': 'search'}
        order(first, 'faults', {'rules': [lost]})
        order(second, 'faults', {'health': {'state': 'serving'}})
        order(second, 'drain', {})
        wait_until(
            lambda: _refusals(running) >= _REFUSALS,
            _CAP_S,
            'refused queries',
        )
        history = running.finish()
        found = running.violations(history)
        assert history.of(QueryRan)
        assert [each.detail for each in found] == []
