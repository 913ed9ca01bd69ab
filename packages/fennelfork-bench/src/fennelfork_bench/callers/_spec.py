"""Specification of the load of a caller stand-in."""

from pathlib import Path

import attrs


@attrs.frozen(kw_only=True)
class LoadSpec:
    """Open-loop load: requests start on schedule, however slow answers are.

    Attributes:
        entries: caller addresses of daemons, separated by commas; each
            request goes to a random address.
        front: name of the front.
        keys: size of the key space of the front.
        front_seed: seed of the records of the front.
        newest: number of the newest snapshot; snapshots start at 1.
        wanted: number of evenly spread keys in each query.
        rate_per_s: mean number of requests per second.
        count: total number of requests.
        open_requests: maximum number of requests in flight; a request that is
            due above the limit is not sent.
        deadline_ms: deadline of each request in milliseconds.
        link_ms: simulated one-way network delay in milliseconds, added in
            both directions.
        caller: name of the caller, the prefix of the request ids.
        tenant: tenant of the requests.
        class_: traffic class of the requests.
        whole: whether only complete answers are accepted.
        floor: minimum coverage of a partial answer, as a fraction.
        seed: seed of the gaps between requests and of the random choices.
        history: file that the events are written to; no file if None.
    """

    entries: str
    front: str = 'raft-search'
    keys: int = 1000
    front_seed: int = 1
    newest: int = 1
    wanted: int = 20
    rate_per_s: float = 50
    count: int = 100
    open_requests: int = 2000
    deadline_ms: int = 2000
    link_ms: float = 0
    caller: str = 'caller'
    tenant: str = 'salvare'
    class_: str = 'counter'
    whole: bool = False
    floor: float = 0
    seed: int = 1
    history: Path | None = None
