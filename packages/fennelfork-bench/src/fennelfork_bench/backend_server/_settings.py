"""What one stand-in backend server is told at its start."""

import attrs

from fennelfork.gather import KeyRange, key_range


@attrs.frozen(kw_only=True)
class ServerSettings:
    """Settings of one stand-in backend server.

    Attributes:
        listen: address of the calls, `ip:port`; port 0 lets the system choose.
        name: name of the server in its log.
        lo: lowest key it holds at its first snapshot.
        hi: one above the highest key it holds at its first snapshot.
        keys: size of the key space of the front.
        snapshot: version of the first snapshot.
        front_seed: seed of the records, the same on all servers of a front.
        slots: how many requests run at once; more are shed.
        connections: how many connections may be open; more are closed.
        connect_ms: time before a new connection is read.
        mean_ms: mean service time.
        shape: shape of the gamma distribution of service times.
        straggle: share of requests that take `straggle_factor` times as long.
        straggle_factor: how much longer a straggler takes.
        cold_ms: how long after its start the server is cold.
        cold_factor: how much longer requests take while it is cold.
        link_ms: delay of the network, one way, added to both ways.
        multi_search: whether it takes several searches in one call.
        health_lag_ms: how old the health and load answers may be.
        seed: seed of service times and of faults.
        log_limit: how many events the log keeps.
    """

    listen: str = '127.0.0.1:0'
    name: str = 'backend'
    lo: int = 0
    hi: int = 1000
    keys: int = 1000
    snapshot: int = 1
    front_seed: int = 1
    slots: int = 5
    connections: int = 40
    connect_ms: float = 6
    mean_ms: float = 6
    shape: float = 1
    straggle: float = 0
    straggle_factor: float = 10
    cold_ms: float = 0
    cold_factor: float = 5
    link_ms: float = 0
    multi_search: bool = False
    health_lag_ms: float = 0
    seed: int = 1
    log_limit: int = 50_000


def first_range(settings: ServerSettings) -> KeyRange:
    """Give the range that the server holds at its first snapshot.

    Raises:
        ValueError: if it is empty or reaches outside the key space.
    """
    held = key_range(settings.lo, settings.hi)
    if settings.hi > settings.keys:
        raise ValueError(f'{settings.hi} is above {settings.keys} keys')
    return held
