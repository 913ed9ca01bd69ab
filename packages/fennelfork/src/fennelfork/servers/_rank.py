"""Choice of a replica: filter, then rank."""

import random
from collections.abc import Iterable
from typing import Final

import attrs

# A sample counts for at most this many times the mean, so that one
# straggler does not turn the work away from a good server.
_MAX_SAMPLE_RATIO: Final = 4
_GAIN: Final = 0.1


@attrs.define(kw_only=True)
class ObservedLatency:
    """Moving mean of one server's latency as this daemon saw it.

    Attributes:
        mean_ms: zero while nothing is known.
        gain: weight of each new sample, from 0 to 1.
    """

    mean_ms: float = 0
    gain: float = _GAIN

    def record(self, latency_ms: float) -> None:
        """Add one sample."""
        if self.mean_ms == 0:
            self.mean_ms = latency_ms
            return
        clipped_ms = min(latency_ms, _MAX_SAMPLE_RATIO * self.mean_ms)
        self.mean_ms += self.gain * (clipped_ms - self.mean_ms)


@attrs.frozen(kw_only=True)
class Candidate:
    """A server that passed the filter, with what the ranking looks at.

    Attributes:
        server: its name.
        latency_ms: own observed mean latency, zero while unknown.
        outstanding: slots held on it.
        slots: slots it has.
        warming: whether it is cold or returns from ejection.
        tried: whether the sub-query was already sent to it.
        distance_ms: by how much it has to be faster than one nearby.
    """

    server: str
    latency_ms: float
    outstanding: int
    slots: int
    warming: bool
    tried: bool
    distance_ms: float = 0


def best(
    candidates: Iterable[Candidate],
    rng: random.Random,
) -> Candidate | None:
    """Choose among the servers that passed the filter.

    Args:
        candidates: the servers with a free slot that can run the work.
        rng: breaks ties, so that idle servers take turns.
    """
    return min(
        candidates,
        key=lambda candidate: (*_rank_key(candidate), rng.random()),
        default=None,
    )


def _rank_key(candidate: Candidate) -> tuple[bool, float, float]:
    """Prefer one not yet tried, then the earliest expected finish.

    A warming server is ranked as if one more sub-query waited there.
    """
    load = (candidate.outstanding + candidate.warming) / candidate.slots
    expected_ms = candidate.latency_ms * (1 + load) + candidate.distance_ms
    return (candidate.tried, expected_ms, load)
