"""Tests of the routing modes."""

import pytest
from core_builders_fleet import build_member

from fennelfork import blackboard
from fennelfork._blackboard import Blackboard
from fennelfork.config import Document, Front, Server, Shard
from fennelfork.home import group_shards_by_home
from fennelfork.placement import RoutingMode, limit_slots

_SERVER = Server(
    address='127.0.0.1:9',
    data_centre='dc-1',
    slots=5,
    connections=40,
    connect_ms=6,
)
_NO_MEMBERS: frozenset[str] = frozenset()


def _board(mode: RoutingMode) -> Blackboard:
    board = blackboard(build_member('vm-1', data_centre='dc-2'))
    board.members['vm-2'] = build_member('vm-2', data_centre='dc-1')
    shards = {name: Shard(servers={'raft-a': _SERVER}) for name in ('s0', 's1')}
    board.document = Document(fronts={'front': Front(keys=9, shards=shards)})
    board.routing = mode
    return board


class TestLimitSlots:
    """The slots of a backend server that one daemon uses."""

    @pytest.mark.parametrize(
        ('mode', 'daemons', 'slots'),
        [
            (RoutingMode.HOME, 9, 5),
            (RoutingMode.DIRECT, 9, 5),
            (RoutingMode.STATIC, 9, 1),
            (RoutingMode.STATIC, 2, 3),
            (RoutingMode.STATIC, 0, 5),
        ],
    )
    def test_only_static_mode_divides_the_slots(
        self, mode: RoutingMode, daemons: int, slots: int
    ) -> None:
        """The share is rounded up, so that each daemon has a slot."""
        assert limit_slots(_SERVER, mode, daemons).slots == slots


class TestRouteHomes:
    """The daemon through which a shard is queried."""

    def test_home_is_near_the_servers(self) -> None:
        """HOME mode uses a daemon in the data centre of the backend servers."""
        groups = group_shards_by_home(
            _board(RoutingMode.HOME), 'front', ('s0', 's1'), _NO_MEMBERS
        )
        assert [group.home.name for group in groups] == ['vm-2']

    @pytest.mark.parametrize('mode', [RoutingMode.DIRECT, RoutingMode.STATIC])
    def test_other_modes_use_the_root_daemon(self, mode: RoutingMode) -> None:
        """DIRECT and STATIC mode send from the root daemon to all shards."""
        board = _board(mode)
        groups = group_shards_by_home(
            board, 'front', ('s0', 'gone'), _NO_MEMBERS
        )
        assert [group.home for group in groups] == [board.local]
        assert groups[0].shards == {'s0'}
        assert not group_shards_by_home(
            board, 'front', ('s0',), frozenset(('vm-1',))
        )
