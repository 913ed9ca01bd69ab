"""Items and events of the store, as facts."""

import json
import math
from typing import Any

import pytest
from bench_builders_fuzz import json_values
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import (
    FOREIGN_BYTES,
    FOREIGN_FIELDS,
    beat,
    config,
    item,
    raw_item,
    route,
)

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    FanOut,
    ServiceWeight,
    SingleService,
    WeightedServices,
)
from fennelfork_daemon._address import address
from fennelfork_daemon.routes import (
    ConfigUpdate,
    InvalidEntry,
    MemberRemoved,
    MemberUpdate,
    ServerRemoved,
    ServerUpdate,
)
from fennelfork_platform._documents import read_member, write_member
from fennelfork_platform._items import read_event, read_item

_CLOCK = manual_clock(ManualTime(at_ms=1000))
_DAEMON = 'fennelfork/daemons/vm-1'
_MEMBER = {
    'incarnation': 3,
    'region': 'delta',
    'data_centre': 'tulcea',
    'caller': '10.0.0.1:80',
}


def _encoded(tree: Any) -> bytes:
    return json.dumps(tree).encode()


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
        assert one.target == SingleService(service='archive')
        assert one.idempotent
        assert (one.timeout_ms, one.latency_target_ms, one.max_attempts) == (
            4000,
            297,
            2,
        )
        split = table.find('rafts.example', '/split/7')
        assert split.target == WeightedServices(
            shares=(ServiceWeight(service='a', weight=3),)
        )
        gathered = table.find('rafts.example', '/all/7')
        assert not gathered.idempotent
        assert gathered.target == FanOut(
            services=('a', 'b'),
            max_records=5,
            min_coverage=0.75,
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
        assert isinstance(fact, ServerUpdate)
        assert fact.server.instance == 'i-7'
        assert not fact.server.draining
        leaving = read_item(item('servers/i-7', beat(State='draining')), _CLOCK)
        assert leaving.server.draining

    def test_warm_up(self) -> None:
        """What is left of it is turned into a time of ours."""
        fact = read_item(item('servers/i-7', beat(WarmupLeftMs=500)), _CLOCK)
        assert fact.server.warm_from_ms == 1500

    def test_gone(self) -> None:
        """An event without a value means that the key was removed."""
        event = {'Key': 'servers/i-7', 'Revision': 9, 'Compacted': True}
        assert read_event(event, _CLOCK) == ServerRemoved(instance='i-7')

    @pytest.mark.parametrize(
        'tree',
        [None, [], {}, {'Service': 'archive'}, 'text'],
    )
    def test_unreadable(self, tree: Any) -> None:
        """What cannot be read is told as that, and nothing breaks."""
        fact = read_item(item('servers/i-7', tree), _CLOCK)
        assert isinstance(fact, InvalidEntry)
        assert fact.key == 'servers/i-7'

    def test_started_again(self) -> None:
        """The time of its start tells one run of a server from the next."""
        first = read_item(item('servers/i-7', beat(born=1000)), _CLOCK)
        second = read_item(item('servers/i-7', beat(born=2000)), _CLOCK)
        assert first.server.instance == second.server.instance
        assert first.server.incarnation != second.server.incarnation

    @pytest.mark.parametrize('changes', FOREIGN_FIELDS, ids=repr)
    def test_foreign_field(self, changes: dict[str, Any]) -> None:
        """A field that no server writes so: nobody is named."""
        fact = read_item(item('servers/i-7', beat(**changes)), _CLOCK)
        assert isinstance(fact, InvalidEntry)
        assert fact.instance == 'i-7'

    @pytest.mark.parametrize('field', list(beat()))
    def test_missing_field(self, field: str) -> None:
        """So does an entry that lacks one."""
        tree = beat()
        tree.pop(field)
        fact = read_item(item('servers/i-7', tree), _CLOCK)
        assert isinstance(fact, InvalidEntry)

    @pytest.mark.parametrize('raw', FOREIGN_BYTES)
    def test_foreign_bytes(self, raw: bytes) -> None:
        """Bytes that no server writes name nobody either."""
        fact = read_item(raw_item('servers/i-7', raw), _CLOCK)
        assert isinstance(fact, InvalidEntry)
        assert fact.instance == 'i-7'

    @pytest.mark.parametrize(
        'name',
        ['', 'with space', 'line\r\nX-Evil: 1', 'naïve', 'x' * 201],
    )
    def test_foreign_key(self, name: str) -> None:
        """A key that could not be sent in a header names nobody."""
        fact = read_item(item(f'servers/{name}', beat()), _CLOCK)
        assert isinstance(fact, InvalidEntry)

    @given(raw=st.binary(max_size=300) | json_values.map(_encoded))
    def test_any_bytes(self, raw: bytes) -> None:
        """Whatever lies there is read or told as unreadable."""
        for key in ('servers/i-7', 'fennelfork/daemons/vm-1', 'op/config'):
            assert read_item(raw_item(key, raw), _CLOCK)

    @given(
        changes=st.dictionaries(st.sampled_from([*beat(), 'born']), json_values)
    )
    def test_any_field(self, changes: dict[str, Any]) -> None:
        """A server that is named can be called, whatever was written."""
        fact = read_item(
            raw_item('servers/i-7', _encoded(beat(**changes))), _CLOCK
        )
        if isinstance(fact, ServerUpdate):
            assert address(fact.server.address).port
            assert 1 <= fact.server.slots
            assert math.isfinite(fact.server.warm_from_ms)

    def test_unknown_key(self) -> None:
        """Other keys are not ours to read."""
        fact = read_item(item('status/x', {}), _CLOCK)
        assert isinstance(fact, InvalidEntry)
        assert isinstance(read_event({'Key': 'op/x'}, _CLOCK), InvalidEntry)


class TestMembers:
    """What daemons register."""

    def test_round_trip(self) -> None:
        """A daemon reads what another wrote."""
        fact = read_item(item(_DAEMON, _MEMBER), _CLOCK)
        assert isinstance(fact, MemberUpdate)
        assert read_member('vm-1', write_member(fact.member)) == fact.member

    @pytest.mark.parametrize(
        'changes',
        [
            {'incarnation': True},
            {'incarnation': '3'},
            {'region': 7},
            {'data_centre': ''},
            {'caller': 'nowhere'},
            {'caller': None},
        ],
    )
    def test_foreign_field(self, changes: dict[str, Any]) -> None:
        """An entry that no daemon writes names none to callers."""
        fact = read_item(item(_DAEMON, _MEMBER | changes), _CLOCK)
        assert isinstance(fact, InvalidEntry)
        assert fact.member == 'vm-1'

    def test_gone(self) -> None:
        """Its key went with its lease."""
        event = {'Key': _DAEMON, 'Compacted': True}
        assert read_event(event, _CLOCK) == MemberRemoved(name='vm-1')


def _config(*routes: Any) -> Any:
    fact = read_item(item('op/config', config(*routes)), _CLOCK)
    assert isinstance(fact, ConfigUpdate)
    return fact.table
