"""Assignment of the shards of a query to home daemons.

Home daemon: the daemon that schedules the requests of one shard.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

from fennelfork._blackboard import Blackboard
from fennelfork.config._document import Shard
from fennelfork.membership._member import Member
from fennelfork.placement._routing_mode import RoutingMode


@attrs.frozen(kw_only=True)
class HomeGroup:
    """Shards that are queried through one home daemon."""

    home: Member
    shards: frozenset[str]


def group_shards_by_home(
    blackboard: Blackboard,
    front: str,
    shards: Iterable[str],
    avoided_members: frozenset[str],
) -> tuple[HomeGroup, ...]:
    """Group the shards of a query by home daemon.

    Args:
        blackboard: blackboard with the configuration and the members.
        front: name of a configured front.
        shards: names of the shards to query.
        avoided_members: names of members that recently sent no reply, which are used
            only if no other member is available.

    Returns:
        The groups, without shards that are not configured. Unless the
        daemon routes by home daemon, the local daemon is the home daemon of
        all shards.
    """
    if blackboard.routing is not RoutingMode.HOME:
        return _build_local_group(blackboard, front, shards, avoided_members)
    groups: dict[str, set[str]] = {}
    known = blackboard.document.fronts[front].shards
    for name in known.keys() & set(shards):
        centres = data_centres_of(known[name])
        home = blackboard.homes.find_home(front, name, centres, avoided_members)
        if home is not None:
            groups.setdefault(home.name, set()).add(name)
    return tuple(
        HomeGroup(home=blackboard.members[home_name], shards=frozenset(group))
        for home_name, group in groups.items()
    )


def homes_of(groups: Iterable[HomeGroup]) -> frozenset[str]:
    """Return the names of the home daemons of groups of shards."""
    return frozenset(group.home.name for group in groups)


def data_centres_of(shard: Shard) -> tuple[str, ...]:
    """Return the data centres of a shard, by descending number of servers."""
    counts = Counter(server.data_centre for server in shard.servers.values())
    by_name = sorted(counts.items())
    by_name.sort(key=_server_count, reverse=True)
    return tuple(name for name, _ in by_name)


def _build_local_group(
    blackboard: Blackboard,
    front: str,
    shards: Iterable[str],
    avoided_members: frozenset[str],
) -> tuple[HomeGroup, ...]:
    known = blackboard.document.fronts[front].shards
    local_shards = known.keys() & set(shards)
    # The local daemon is the only home daemon, without an alternative.
    if not local_shards or blackboard.local.name in avoided_members:
        return ()
    return (HomeGroup(home=blackboard.local, shards=frozenset(local_shards)),)


def _server_count(counted: tuple[str, int]) -> int:
    return counted[1]
