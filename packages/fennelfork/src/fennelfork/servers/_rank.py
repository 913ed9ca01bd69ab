"""Ranking of the backend servers that can run a request."""

import random
from collections.abc import Iterable
from typing import Final

import attrs

# Samples are clipped at this multiple of the mean, so that a single outlier
# has little effect.
_MAX_SAMPLE_RATIO: Final = 4
_GAIN: Final = 0.1


@attrs.define(kw_only=True)
class ObservedLatency:
    """Exponential moving average of the latency of one server.

    Attributes:
        mean_ms: average latency; zero before the first sample.
        gain: weight of a new sample, from 0 to 1.
    """

    mean_ms: float = 0
    gain: float = _GAIN

    def record(self, latency_ms: float) -> None:
        """Record one latency sample."""
        if self.mean_ms == 0:
            self.mean_ms = latency_ms
            return
        clipped_ms = min(latency_ms, _MAX_SAMPLE_RATIO * self.mean_ms)
        self.mean_ms += self.gain * (clipped_ms - self.mean_ms)


@attrs.frozen(kw_only=True)
class Candidate:
    """Eligible server with the values that determine the rank.

    Attributes:
        server: name of the server.
        latency_ms: observed mean latency; zero while unknown.
        outstanding: number of slots in use.
        slots: number of slots of the server.
        warming: whether the server is in slow start.
        tried: whether the request was already sent to the server.
        penalty_ms: time that is added to the latency, for the network distance
            and for failures.
    """

    server: str
    latency_ms: float
    outstanding: int
    slots: int
    warming: bool
    tried: bool
    penalty_ms: float = 0


def choose_candidate(
    candidates: Iterable[Candidate],
    rng: random.Random,
) -> Candidate | None:
    """Return the candidate with the best rank, or `None`.

    Args:
        candidates: servers with a free slot that can run the request.
        rng: random number generator that breaks ties.
    """
    return min(
        candidates,
        key=lambda candidate: (*_rank_key(candidate), rng.random()),
        default=None,
    )


def _rank_key(candidate: Candidate) -> tuple[bool, float, float]:
    """Return the sort key: untried first, then by expected latency.

    A server in slow start is ranked as if one more slot was in use.
    """
    load = (candidate.outstanding + candidate.warming) / candidate.slots
    expected_ms = candidate.latency_ms * (1 + load) + candidate.penalty_ms
    return (candidate.tried, expected_ms, load)
