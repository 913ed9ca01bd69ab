"""Who hands out the slots of a shard's backend servers."""

import enum

import attrs

from fennelfork.config._document import Server


@enum.unique
class RoutingMode(enum.Enum):
    """The ways a sub-query reaches a backend server.

    HOME goes through the home of the shard, which alone counts its slots.
    DIRECT goes from the root, which knows only its own requests. STATIC does
    too, within an equal share of the slots. Only HOME is for production; the
    others are what it is measured against.
    """

    HOME = 'home'
    DIRECT = 'direct'
    STATIC = 'static'


def limit_slots(server: Server, mode: RoutingMode, daemons: int) -> Server:
    """Limit a server to the slots that one daemon may use by itself.

    Args:
        server: the server as configured.
        mode: how sub-queries reach it.
        daemons: how many daemons use it.

    Returns:
        The server; in STATIC mode with an equal share of its slots, rounded
        up, so that each daemon has at least one.
    """
    if mode is not RoutingMode.STATIC:
        return server
    share = -(-server.slots // max(daemons, 1))
    return attrs.evolve(server, slots=share)
