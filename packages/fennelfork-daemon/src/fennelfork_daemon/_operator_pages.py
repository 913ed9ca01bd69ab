"""Pages of the operator face, from the facts of the blackboard."""

from collections.abc import Mapping
from typing import Any

import attrs

from fennelfork import (
    Blackboard,
    Front,
    Member,
    Shard,
    route_homes,
)

Tree = dict[str, Any]
Seen = Mapping[tuple[str, str], 'ServerSight']


@attrs.frozen(kw_only=True)
class ServerSight:
    """A backend server as its home sees it.

    Attributes:
        name: as configured.
        address: as configured.
        state: in a word.
        busy: slots in use.
        snapshots: versions that it holds.
    """

    name: str
    address: str
    state: str
    busy: int
    snapshots: tuple[int, ...]


def members_page(board: Blackboard) -> Tree:
    """List the daemons known here, by name."""
    names = sorted(board.members)
    return {'members': [_member(board.members[name]) for name in names]}


def fronts_page(
    board: Blackboard,
    servers: tuple[ServerSight, ...],
) -> Tree:
    """List the fronts with their shards, homes and backend servers.

    Args:
        board: configuration and members.
        servers: what this daemon sees as their home; of other servers only
            the configuration is told.
    """
    seen = {(sight.name, sight.address): sight for sight in servers}
    return {
        'config_version': board.config_version,
        'fronts': [
            _front(board, seen, name) for name in sorted(board.document.fronts)
        ],
    }


def _member(member: Member) -> Tree:
    return attrs.asdict(member) | {'state': member.state.value}


def _front(board: Blackboard, seen: Seen, name: str) -> Tree:
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
                'servers': _servers(shard, seen),
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


def _servers(shard: Shard, seen: Seen) -> list[Tree]:
    return [
        {
            'name': name,
            'address': server.address,
            'data_centre': server.data_centre,
            'slots': server.slots,
            **_sight(seen.get((name, server.address))),
        }
        for name, server in sorted(shard.servers.items())
    ]


def _sight(sight: ServerSight | None) -> Tree:
    if sight is None:
        return {'state': None, 'busy': None, 'snapshots': None}
    return {
        'state': sight.state,
        'busy': sight.busy,
        'snapshots': sight.snapshots,
    }
