"""Which home each shard of a query is asked through."""

from collections import Counter
from collections.abc import Iterable

import attrs

from fennelfork._blackboard import Blackboard
from fennelfork.config._document import Shard
from fennelfork.membership._member import Member
from fennelfork.placement._routing_mode import RoutingMode


@attrs.frozen(kw_only=True)
class HomeGroup:
    """Shards that are asked through one home."""

    home: Member
    shards: frozenset[str]


def route_homes(
    board: Blackboard,
    front: str,
    shards: Iterable[str],
    avoid: frozenset[str],
) -> tuple[HomeGroup, ...]:
    """Group shards by their home.

    Args:
        board: configuration and members.
        front: name of the front, which must be configured.
        shards: names of the shards to ask.
        avoid: members that lately gave no reply; used only where no other
            member is left.

    Returns:
        The groups; shards that are not configured are left out. Unless the
        daemon routes by home, it is itself the home of all.
    """
    if board.routing is not RoutingMode.HOME:
        return _own_group(board, front, shards, avoid)
    groups: dict[str, set[str]] = {}
    known = board.document.fronts[front].shards
    for name in known.keys() & set(shards):
        centres = data_centres_of(known[name])
        home = board.homes.home(front, name, centres, avoid)
        if home is not None:
            groups.setdefault(home.name, set()).add(name)
    return tuple(
        HomeGroup(home=board.members[home_name], shards=frozenset(group))
        for home_name, group in groups.items()
    )


def homes_of(groups: Iterable[HomeGroup]) -> frozenset[str]:
    """Give the names of the homes of some groups."""
    return frozenset(group.home.name for group in groups)


def data_centres_of(shard: Shard) -> tuple[str, ...]:
    """List the data centres of a shard's servers, most servers first."""
    counts = Counter(server.data_centre for server in shard.servers.values())
    by_name = sorted(counts.items())
    by_name.sort(key=_server_count, reverse=True)
    return tuple(name for name, _ in by_name)


def _own_group(
    board: Blackboard,
    front: str,
    shards: Iterable[str],
    avoid: frozenset[str],
) -> tuple[HomeGroup, ...]:
    known = board.document.fronts[front].shards
    own = known.keys() & set(shards)
    # There is no other home to ask when this one took too long.
    if not own or board.local.name in avoid:
        return ()
    return (HomeGroup(home=board.local, shards=frozenset(own)),)


def _server_count(counted: tuple[str, int]) -> int:
    return counted[1]
