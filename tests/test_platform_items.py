"""Items and events of the store, as facts."""

from typing import Any

import pytest
from platform_builders import beat, config, item, route

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import Gather, Share, Single, Split
from fennelfork_daemon.routes import (
    ConfigFact,
    MemberFact,
    MemberGoneFact,
    ServerFact,
    ServerGoneFact,
    UnreadableFact,
)
from fennelfork_platform._documents import read_member, write_member
from fennelfork_platform._items import read_event, read_item

_CLOCK = manual_clock(ManualTime(at_ms=1000))


class TestConfig:
    """The operators' configuration."""

    def test_targets(self) -> None:
        """One service, a split or all shards."""
        table = _config(
            route(),
            route(
                Prefix='/split/',
                Service=None,
                Split=[{'Service': 'a', 'Weight': 3}],
            ),
            route(
                Prefix='/all/',
                Service=None,
                Gather=['a', 'b'],
                TopK=5,
                MinCoverage=0.75,
                RouteType='unsafe',
            ),
        )
        one = table.find('rafts.example', '/rafts/7')
        assert one.target == Single(service='archive')
        assert one.idempotent
        assert (one.timeout_ms, one.aim_ms, one.attempts) == (4000, 297, 2)
        split = table.find('rafts.example', '/split/7')
        assert split.target == Split(shares=(Share(service='a', weight=3),))
        gathered = table.find('rafts.example', '/all/7')
        assert not gathered.idempotent
        assert gathered.target == Gather(
            services=('a', 'b'),
            most_records=5,
            least_coverage=0.75,
        )

    def test_limits(self) -> None:
        """Limits of callers, and of connections to a server."""
        table = _config(route())
        assert table.limits.idle_ms == 15_000
        assert table.services['archive'].connections == 41
        assert table.version == 7


class TestServers:
    """What backend servers register."""

    def test_ready_and_draining(self) -> None:
        """The instance is the key; a draining one is about to leave."""
        fact = read_item(item('servers/i-7', beat()), _CLOCK)
        assert isinstance(fact, ServerFact)
        assert fact.server.instance == 'i-7'
        assert not fact.server.draining
        leaving = read_item(item('servers/i-7', beat(State='draining')), _CLOCK)
        assert leaving.server.draining

    def test_warm_up(self) -> None:
        """What is left of it is turned into a time of ours."""
        fact = read_item(item('servers/i-7', beat(WarmupLeftMs=500)), _CLOCK)
        assert fact.server.warm_ms == 1500

    def test_gone(self) -> None:
        """An event without a value means that the key was removed."""
        event = {'Key': 'servers/i-7', 'Revision': 9, 'Compacted': True}
        assert read_event(event, _CLOCK) == ServerGoneFact(instance='i-7')

    @pytest.mark.parametrize(
        'tree',
        [None, [], {}, {'Service': 'archive'}, 'text'],
    )
    def test_unreadable(self, tree: Any) -> None:
        """What cannot be read is told as that, and nothing breaks."""
        fact = read_item(item('servers/i-7', tree), _CLOCK)
        assert isinstance(fact, UnreadableFact)
        assert fact.key == 'servers/i-7'

    def test_unknown_key(self) -> None:
        """Other keys are not ours to read."""
        fact = read_item(item('status/x', {}), _CLOCK)
        assert isinstance(fact, UnreadableFact)
        assert isinstance(read_event({'Key': 'op/x'}, _CLOCK), UnreadableFact)


class TestMembers:
    """What daemons register."""

    def test_round_trip(self) -> None:
        """A daemon reads what another wrote."""
        fact = read_item(
            item(
                'fennelfork/daemons/vm-1',
                {
                    'incarnation': 3,
                    'region': 'delta',
                    'data_centre': 'tulcea',
                    'caller': '10.0.0.1:80',
                },
            ),
            _CLOCK,
        )
        assert isinstance(fact, MemberFact)
        assert read_member('vm-1', write_member(fact.member)) == fact.member

    def test_gone(self) -> None:
        """Its key went with its lease."""
        event = {'Key': 'fennelfork/daemons/vm-1', 'Compacted': True}
        assert read_event(event, _CLOCK) == MemberGoneFact(name='vm-1')


def _config(*routes: Any) -> Any:
    fact = read_item(item('op/config', config(*routes)), _CLOCK)
    assert isinstance(fact, ConfigFact)
    return fact.table
