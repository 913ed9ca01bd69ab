"""Status of backend servers, for operators."""

import enum

import attrs

from fennelfork.home._blackboard import ServerState, ShardBlackboard


@enum.unique
class ServerCondition(enum.Enum):
    """Condition of a server at its home daemon.

    EJECTED servers get no requests, RETURNING and COLD servers are in slow
    start, LEAVING and DRAINING servers get no new requests.
    """

    SERVING = 'serving'
    COLD = 'cold'
    RETURNING = 'returning'
    EJECTED = 'ejected'
    LEAVING = 'leaving'
    DRAINING = 'draining'


@attrs.frozen(kw_only=True)
class ServerStatus:
    """Status of one server.

    Attributes:
        name: configured name of the server.
        condition: condition of the server.
        busy: number of slots in use.
        snapshots: index versions that the server reported.
    """

    name: str
    condition: ServerCondition
    busy: int
    snapshots: tuple[int, ...]


def server_statuses(blackboard: ShardBlackboard) -> tuple[ServerStatus, ...]:
    """Return the status of the servers of a shard, by name.

    Args:
        blackboard: blackboard of the shard.
    """
    return tuple(
        ServerStatus(
            name=name,
            condition=_classify_condition(server, blackboard.clock.now_ms()),
            busy=blackboard.slots.count_busy(name),
            snapshots=tuple(held.version for held in server.snapshots),
        )
        for name, server in sorted(blackboard.servers.items())
    )


def _classify_condition(server: ServerState, now_ms: float) -> ServerCondition:
    ejection = server.ejection
    conditions = (
        (server.drain.is_draining, ServerCondition.DRAINING),
        (server.leaving, ServerCondition.LEAVING),
        (ejection.is_ejected(now_ms), ServerCondition.EJECTED),
        (server.cold, ServerCondition.COLD),
        (ejection.in_slow_start, ServerCondition.RETURNING),
    )
    return next(
        (condition for applies, condition in conditions if applies),
        ServerCondition.SERVING,
    )
