"""JSON documents of the operator API."""

from collections.abc import Mapping
from typing import Any

import attrs

from fennelfork import Blackboard
from fennelfork.config import Front, Shard
from fennelfork.home import ServerStatus, group_shards_by_home
from fennelfork.membership import Member

JsonTree = dict[str, Any]
# Front name and shard name.
ShardKey = tuple[str, str]
StatusByShard = Mapping[ShardKey, tuple[ServerStatus, ...]]


def members_page(blackboard: Blackboard) -> JsonTree:
    """Return the known members of the fleet, sorted by name."""
    names = sorted(blackboard.members)
    return {
        'members': [
            _describe_member(blackboard.members[name]) for name in names
        ]
    }


def fronts_page(
    blackboard: Blackboard,
    statuses: StatusByShard,
) -> JsonTree:
    """Return the fronts with shards, home daemons and backend servers.

    Args:
        blackboard: facts with the configuration and the members.
        statuses: status of the backend servers of those shards whose home
            daemon is this daemon; the status of others is null.
    """
    return {
        'config_version': blackboard.config_version,
        'fronts': [
            _describe_front(blackboard, statuses, name)
            for name in sorted(blackboard.document.fronts)
        ],
    }


def _describe_member(member: Member) -> JsonTree:
    return attrs.asdict(member) | {'state': member.state.value}


def _describe_front(
    blackboard: Blackboard, statuses: StatusByShard, name: str
) -> JsonTree:
    front = blackboard.document.fronts[name]
    homes = _home_names(blackboard, name, front)
    return {
        'name': name,
        'keys': front.keys,
        'hedge': front.hedge.policy.value,
        'shards': [
            {
                'name': shard_name,
                'home': homes.get(shard_name),
                'servers': _describe_servers(
                    shard,
                    statuses.get((name, shard_name), ()),
                ),
            }
            for shard_name, shard in sorted(front.shards.items())
        ],
    }


def _home_names(
    blackboard: Blackboard, name: str, front: Front
) -> dict[str, str]:
    return {
        shard: group.home.name
        for group in group_shards_by_home(
            blackboard, name, front.shards, frozenset()
        )
        for shard in group.shards
    }


def _describe_servers(
    shard: Shard, statuses: tuple[ServerStatus, ...]
) -> list[JsonTree]:
    status_by_name = {status.name: status for status in statuses}
    return [
        {
            'name': name,
            'address': server.address,
            'data_centre': server.data_centre,
            'slots': server.slots,
            **_status_fields(status_by_name.get(name)),
        }
        for name, server in sorted(shard.servers.items())
    ]


def _status_fields(status: ServerStatus | None) -> JsonTree:
    if status is None:
        return {'state': None, 'busy': None, 'snapshots': None}
    return {
        'state': status.condition.value,
        'busy': status.busy,
        'snapshots': status.snapshots,
    }
