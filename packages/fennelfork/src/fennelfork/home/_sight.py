"""A backend server as operators are shown it by its home."""

import enum

import attrs

from fennelfork.home._board import Board, ServerState


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
class ServerSight:
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


def server_sights(board: Board) -> tuple[ServerSight, ...]:
    """Show the servers of a shard, by name.

    Args:
        board: the state of the shard at its home.
    """
    return tuple(
        ServerSight(
            name=name,
            condition=_condition(server, board.clock.now_ms()),
            busy=board.slots.busy(name),
            snapshots=tuple(held.version for held in server.snapshots),
        )
        for name, server in sorted(board.servers.items())
    )


def _condition(server: ServerState, now_ms: float) -> ServerCondition:
    standing = server.standing
    conditions = (
        (server.draining, ServerCondition.DRAINING),
        (server.leaving, ServerCondition.LEAVING),
        (standing.ejected(now_ms), ServerCondition.EJECTED),
        (server.cold, ServerCondition.COLD),
        (standing.returning, ServerCondition.RETURNING),
    )
    return next(
        (condition for holds, condition in conditions if holds),
        ServerCondition.SERVING,
    )
