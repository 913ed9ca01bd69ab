"""Guard against `not_run` verdicts for queries that ran."""

import pytest
from bench_builders_faults import start_trial

from fennelfork_bench.history._caller import Refused
from fennelfork_bench.history._server import QueryRan
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.soak._round_context import RoundContext
from fennelfork_bench.soak._servers import send_control_command

pytestmark = pytest.mark.process

_TIMEOUT_S = 20
_MIN_REFUSALS = 8


def _count_refusals(context: RoundContext) -> int:
    events = context.recorder.events
    return sum(isinstance(event, Refused) for event in events)


class TestVerdicts:
    """Tests with one replica that runs and one that refuses work."""

    def test_lost_reply_then_refused(self, rig: Rig) -> None:
        """A query that ran and lost its reply is not refused as `not_run`."""
        context = start_trial(rig)
        first, second = (
            context.fleet.backends[server.name]
            for server in context.front.shards[0].servers
        )
        lost_reply = {'kind': 'lose_reply', 'call': 'search'}
        send_control_command(first, 'faults', {'rules': [lost_reply]})
        send_control_command(second, 'faults', {'health': {'state': 'serving'}})
        send_control_command(second, 'drain', {})
        wait_until(
            lambda: _count_refusals(context) >= _MIN_REFUSALS,
            _TIMEOUT_S,
            'refused queries',
        )
        history = context.finish()
        violations = context.find_violations(history)
        assert history.of_type(QueryRan)
        assert [each.detail for each in violations] == []
