"""What one caller stand-in is told at its start."""

from pathlib import Path

import attrs


@attrs.frozen(kw_only=True)
class LoadSpec:
    """An open load: requests start when due, however slow the answers are.

    Attributes:
        entries: caller addresses of daemons, separated by commas; each
            request goes to one of them at random.
        front: the front that is asked.
        keys: size of its key space.
        front_seed: seed of its records.
        newest: the snapshots from 1 to this one exist.
        wanted: how many keys, evenly spread, each query asks for.
        rate_per_s: mean of requests a second.
        count: how many requests in all.
        open_requests: most requests in progress; further ones are given up.
        deadline_ms: deadline of each request.
        link_ms: delay of the network, one way, added to both ways.
        caller: name of the caller, the start of its request ids.
        tenant: who asks.
        class_: for which class of work.
        whole: whether a partial answer is refused.
        floor: least fraction that a partial answer must cover.
        seed: seed of gaps and choices.
        history: file that takes the events; none keeps them in memory.
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
