"""Tests of decoding items and watch events of the store."""

import json
import math
from typing import Any

import pytest
from bench_builders_fuzz import json_values
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import (
    INVALID_BYTES,
    INVALID_FIELDS,
    config,
    item,
    raw_item,
    registration,
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
_DAEMON_KEY = 'fennelfork/daemons/vm-1'
_MEMBER = {
    'incarnation': 3,
    'region': 'delta',
    'data_centre': 'tulcea',
    'caller': '10.0.0.1:80',
}


def _encode(tree: Any) -> bytes:
    return json.dumps(tree).encode()


class TestConfig:
    """The configuration of the operators."""

    def test_targets(self) -> None:
        """A route targets one service, weighted services or a fan-out."""
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
        single = table.find('rafts.example', '/rafts/7')
        assert single.target == SingleService(service='archive')
        assert single.idempotent
        assert (
            single.timeout_ms,
            single.latency_target_ms,
            single.max_attempts,
        ) == (
            4000,
            297,
            2,
        )
        split = table.find('rafts.example', '/split/7')
        assert split.target == WeightedServices(
            shares=(ServiceWeight(service='a', weight=3),)
        )
        fan_out = table.find('rafts.example', '/all/7')
        assert not fan_out.idempotent
        assert fan_out.target == FanOut(
            services=('a', 'b'),
            max_records=5,
            min_coverage=0.75,
        )

    def test_limits(self) -> None:
        """Limits on callers and on connections to a server are read."""
        table = _config(route())
        assert table.limits.idle_ms == 15_000
        assert table.services['archive'].connections == 41
        assert table.version == 7


class TestServers:
    """The registrations of backend servers."""

    def test_ready_and_draining(self) -> None:
        """The instance comes from the key, draining from the state."""
        update = read_item(item('servers/i-7', registration()), _CLOCK)
        assert isinstance(update, ServerUpdate)
        assert update.server.instance == 'i-7'
        assert not update.server.draining
        draining = read_item(
            item('servers/i-7', registration(State='draining')), _CLOCK
        )
        assert draining.server.draining

    def test_warm_up(self) -> None:
        """The rest of the warm-up becomes a time of the local clock."""
        update = read_item(
            item('servers/i-7', registration(WarmupLeftMs=500)), _CLOCK
        )
        assert update.server.warm_from_ms == 1500

    def test_gone(self) -> None:
        """An event without a value is the removal of the key."""
        event = {'Key': 'servers/i-7', 'Revision': 9, 'Compacted': True}
        assert read_event(event, _CLOCK) == ServerRemoved(instance='i-7')

    @pytest.mark.parametrize(
        'tree',
        [None, [], {}, {'Service': 'archive'}, 'text'],
    )
    def test_unreadable(self, tree: Any) -> None:
        """An entry that is not a registration is reported as invalid."""
        update = read_item(item('servers/i-7', tree), _CLOCK)
        assert isinstance(update, InvalidEntry)
        assert update.key == 'servers/i-7'

    def test_new_incarnation(self) -> None:
        """A later start time of a server is another incarnation."""
        first = read_item(item('servers/i-7', registration(born=1000)), _CLOCK)
        second = read_item(item('servers/i-7', registration(born=2000)), _CLOCK)
        assert first.server.instance == second.server.instance
        assert first.server.incarnation != second.server.incarnation

    @pytest.mark.parametrize('changes', INVALID_FIELDS, ids=repr)
    def test_invalid_field(self, changes: dict[str, Any]) -> None:
        """A registration with an invalid field is rejected."""
        update = read_item(item('servers/i-7', registration(**changes)), _CLOCK)
        assert isinstance(update, InvalidEntry)
        assert update.instance == 'i-7'

    @pytest.mark.parametrize('field', list(registration()))
    def test_missing_field(self, field: str) -> None:
        """A registration without a required field is rejected."""
        tree = registration()
        tree.pop(field)
        update = read_item(item('servers/i-7', tree), _CLOCK)
        assert isinstance(update, InvalidEntry)

    @pytest.mark.parametrize('raw', INVALID_BYTES)
    def test_invalid_bytes(self, raw: bytes) -> None:
        """Bytes that are not a JSON object of fields are rejected."""
        update = read_item(raw_item('servers/i-7', raw), _CLOCK)
        assert isinstance(update, InvalidEntry)
        assert update.instance == 'i-7'

    @pytest.mark.parametrize(
        'name',
        ['', 'with space', 'line\r\nX-Evil: 1', 'naïve', 'x' * 201],
    )
    def test_invalid_key(self, name: str) -> None:
        """An instance name that cannot be sent in a header is rejected."""
        update = read_item(item(f'servers/{name}', registration()), _CLOCK)
        assert isinstance(update, InvalidEntry)

    @given(raw=st.binary(max_size=300) | json_values.map(_encode))
    def test_any_bytes(self, raw: bytes) -> None:
        """Any value is decoded or reported as invalid without an error."""
        for key in ('servers/i-7', 'fennelfork/daemons/vm-1', 'op/config'):
            assert read_item(raw_item(key, raw), _CLOCK)

    @given(
        changes=st.dictionaries(
            st.sampled_from([*registration(), 'born']), json_values
        )
    )
    def test_any_field(self, changes: dict[str, Any]) -> None:
        """Each accepted server has a usable address, slots and warm-up."""
        update = read_item(
            raw_item('servers/i-7', _encode(registration(**changes))), _CLOCK
        )
        if isinstance(update, ServerUpdate):
            assert address(update.server.address).port
            assert 1 <= update.server.slots
            assert math.isfinite(update.server.warm_from_ms)

    def test_unknown_key(self) -> None:
        """Unknown keys are reported as invalid."""
        update = read_item(item('status/x', {}), _CLOCK)
        assert isinstance(update, InvalidEntry)
        assert isinstance(read_event({'Key': 'op/x'}, _CLOCK), InvalidEntry)


class TestMembers:
    """The registrations of daemons."""

    def test_round_trip(self) -> None:
        """Encoding and decoding preserve a registration."""
        update = read_item(item(_DAEMON_KEY, _MEMBER), _CLOCK)
        assert isinstance(update, MemberUpdate)
        assert read_member('vm-1', write_member(update.member)) == update.member

    def test_capacity_and_load(self) -> None:
        """The capacity and an overload are part of a registration."""
        added = {'cores': 2.15, 'overloaded': True}
        update = read_item(item(_DAEMON_KEY, _MEMBER | added), _CLOCK)
        assert isinstance(update, MemberUpdate)
        assert update.member.processor_cores == pytest.approx(2.15)
        assert update.member.is_overloaded
        assert read_member('vm-1', write_member(update.member)) == update.member

    def test_earlier_version(self) -> None:
        """A daemon that does not publish its capacity counts as the least."""
        update = read_item(item(_DAEMON_KEY, _MEMBER), _CLOCK)
        assert isinstance(update, MemberUpdate)
        assert not update.member.processor_cores
        assert not update.member.is_overloaded

    @pytest.mark.parametrize(
        'changes',
        [
            {'incarnation': True},
            {'incarnation': '3'},
            {'region': 7},
            {'data_centre': ''},
            {'caller': 'nowhere'},
            {'caller': None},
            {'cores': '2'},
            {'cores': -1},
            {'cores': float('inf')},
            {'overloaded': 1},
        ],
    )
    def test_invalid_field(self, changes: dict[str, Any]) -> None:
        """A registration of a daemon with an invalid field is rejected."""
        update = read_item(item(_DAEMON_KEY, _MEMBER | changes), _CLOCK)
        assert isinstance(update, InvalidEntry)
        assert update.member == 'vm-1'

    def test_gone(self) -> None:
        """The removal of the key is the removal of the daemon."""
        event = {'Key': _DAEMON_KEY, 'Compacted': True}
        assert read_event(event, _CLOCK) == MemberRemoved(name='vm-1')


def _config(*routes: Any) -> Any:
    update = read_item(item('op/config', config(*routes)), _CLOCK)
    assert isinstance(update, ConfigUpdate)
    return update.table
