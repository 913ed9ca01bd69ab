"""A backend server as operators are shown it by its home."""

import enum

import attrs

from fennelfork.home._blackboard import ServerState, ShardBlackboard


@enum.unique
class ServerCondition(enum.Enum):
    """What a home does with a server, and why.

    EJECTED servers get no work for a while, RETURNING and COLD ones a few
    requests at a time, LEAVING and DRAINING ones nothing new.
    """

    SERVING = 'serving'
    COLD = 'cold'
    RETURNING = 'returning'
    EJECTED = 'ejected'
    LEAVING = 'leaving'
    DRAINING = 'draining'


@attrs.frozen(kw_only=True)
class ServerStatus:
    """One server at one moment.

    Attributes:
        name: as configured.
        condition: whether it gets work.
        busy: slots in use.
        snapshots: index versions that it holds, by its own word.
    """

    name: str
    condition: ServerCondition
    busy: int
    snapshots: tuple[int, ...]


def server_statuses(blackboard: ShardBlackboard) -> tuple[ServerStatus, ...]:
    """Show the servers of a shard, by name.

    Args:
        board: the state of the shard at its home.
    """
    return tuple(
        ServerStatus(
            name=name,
            condition=_condition(server, blackboard.clock.now_ms()),
            busy=blackboard.slots.busy(name),
            snapshots=tuple(held.version for held in server.snapshots),
        )
        for name, server in sorted(blackboard.servers.items())
    )


def _condition(server: ServerState, now_ms: float) -> ServerCondition:
    ejection = server.ejection
    conditions = (
        (server.draining, ServerCondition.DRAINING),
        (server.leaving, ServerCondition.LEAVING),
        (ejection.ejected(now_ms), ServerCondition.EJECTED),
        (server.cold, ServerCondition.COLD),
        (ejection.in_slow_start, ServerCondition.RETURNING),
    )
    return next(
        (condition for holds, condition in conditions if holds),
        ServerCondition.SERVING,
    )
