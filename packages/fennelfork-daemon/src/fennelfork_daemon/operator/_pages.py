"""Pages of the operator face, from the facts of the blackboard."""

from collections.abc import Mapping
from typing import Any

import attrs

from fennelfork import Blackboard
from fennelfork.config import Front, Shard
from fennelfork.home import ServerStatus, route_homes
from fennelfork.membership import Member

Tree = dict[str, Any]
# By front and shard.
ShardKey = tuple[str, str]
Sights = Mapping[ShardKey, tuple[ServerStatus, ...]]


def members_page(board: Blackboard) -> Tree:
    """List the daemons known here, by name."""
    names = sorted(board.members)
    return {'members': [_member(board.members[name]) for name in names]}


def fronts_page(
    board: Blackboard,
    sights: Sights,
) -> Tree:
    """List the fronts with their shards, homes and backend servers.

    Args:
        board: configuration and members.
        sights: what this daemon sees of servers as their home; of others
            only the configuration is told.
    """
    return {
        'config_version': board.config_version,
        'fronts': [
            _front(board, sights, name)
            for name in sorted(board.document.fronts)
        ],
    }


def _member(member: Member) -> Tree:
    return attrs.asdict(member) | {'state': member.state.value}


def _front(board: Blackboard, sights: Sights, name: str) -> Tree:
    front = board.document.fronts[name]
    homes = _homes(board, name, front)
    return {
        'name': name,
        'keys': front.keys,
        'hedge': front.hedge.policy.value,
        'shards': [
            {
                'name': shard_name,
                'home': homes.get(shard_name),
                'servers': _servers(
                    shard,
                    sights.get((name, shard_name), ()),
                ),
            }
            for shard_name, shard in sorted(front.shards.items())
        ],
    }


def _homes(board: Blackboard, name: str, front: Front) -> dict[str, str]:
    return {
        shard: group.home.name
        for group in route_homes(board, name, front.shards, frozenset())
        for shard in group.shards
    }


def _servers(shard: Shard, sights: tuple[ServerStatus, ...]) -> list[Tree]:
    seen = {sight.name: sight for sight in sights}
    return [
        {
            'name': name,
            'address': server.address,
            'data_centre': server.data_centre,
            'slots': server.slots,
            **_sight(seen.get(name)),
        }
        for name, server in sorted(shard.servers.items())
    ]


def _sight(sight: ServerStatus | None) -> Tree:
    if sight is None:
        return {'state': None, 'busy': None, 'snapshots': None}
    return {
        'state': sight.condition.value,
        'busy': sight.busy,
        'snapshots': sight.snapshots,
    }
