"""Routing of sub-queries to the backend servers of a shard."""

import enum

import attrs

from fennelfork.config._document import Server


@enum.unique
class RoutingMode(enum.Enum):
    """Route of a sub-query to a backend server.

    `HOME`: through the home daemon, which schedules all requests of the shard.
    `DIRECT`: from the root daemon, which knows only its own requests.
    `STATIC`: from the root daemon, within an equal share of the slots.
    Production uses `HOME`; the other modes exist for comparison in benchmarks.
    """

    HOME = 'home'
    DIRECT = 'direct'
    STATIC = 'static'


def limit_slots(server: Server, mode: RoutingMode, daemons: int) -> Server:
    """Limit the slots of a backend server to the share of one daemon.

    Args:
        server: configured backend server.
        mode: route of sub-queries to the backend server.
        daemons: number of daemons that use the backend server.

    Returns:
        The backend server; in `STATIC` mode with an equal share of the slots,
        rounded up so that each daemon has at least one slot.
    """
    if mode is not RoutingMode.STATIC:
        return server
    share = -(-server.slots // max(daemons, 1))
    return attrs.evolve(server, slots=share)
