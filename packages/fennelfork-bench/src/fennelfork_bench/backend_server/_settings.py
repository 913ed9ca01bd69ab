"""Settings of a stand-in backend server."""

import attrs

from fennelfork.gather import KeyRange, key_range


@attrs.frozen(kw_only=True)
class ServerSettings:
    """Settings of one stand-in backend server.

    Attributes:
        listen: address of the backend protocol, `ip:port`; port 0 selects a
            free port.
        name: name of the server in its log.
        lo: lowest key of the initial snapshot.
        hi: one above the highest key of the initial snapshot.
        keys: size of the key space of the front.
        snapshot: version of the initial snapshot.
        front_seed: seed of the records, equal on all servers of a front.
        slots: maximum number of running requests; further ones are shed.
        connections: maximum number of open connections; further ones are
            closed.
        connect_ms: delay before a new connection is read.
        mean_ms: mean service time.
        shape: shape of the gamma distribution of service times.
        straggle: share of requests that straggle.
        straggle_factor: multiplier of the service time of stragglers.
        cold_ms: duration of the warm-up after the start.
        cold_factor: multiplier of the service time during the warm-up.
        link_ms: one-way network delay, added in both directions.
        multi_search: whether the server supports multi-search.
        health_lag_ms: maximum age of the health and load responses.
        seed: seed of service times and faults.
        log_limit: maximum number of retained log events.
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


def initial_range(settings: ServerSettings) -> KeyRange:
    """Return the key range that the server holds at its initial snapshot.

    Raises:
        ValueError: if the range is empty or exceeds the key space.
    """
    held = key_range(settings.lo, settings.hi)
    if settings.hi > settings.keys:
        raise ValueError(f'hi is {settings.hi}, above the {settings.keys} keys')
    return held
