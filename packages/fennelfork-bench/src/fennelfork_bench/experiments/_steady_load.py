"""Steady lookups for experiments that disturb the fleet meanwhile."""

import itertools
import random
import time
from collections import Counter
from typing import Final

import attrs
import eventlet

from fennelfork import system_clock
from fennelfork_bench.demo._check import Expected, faults_of
from fennelfork_bench.experiments._small_fleet import FRONT, KEYS
from fennelfork_bench.rig._caller import Asked, Caller
from fennelfork_bench.rig._report import percentile

_CLOCK: Final = system_clock()
_CALLERS: Final = 8
_GAP_S: Final = 0.03
_TAIL: Final = 0.99


@attrs.frozen(kw_only=True)
class Sample:
    """One request of the load.

    Attributes:
        at_ms: when its final answer came.
        faults: what was wrong with it; nothing if it was right.
    """

    at_ms: float
    asked: Asked
    faults: tuple[str, ...]

    @property
    def failed(self) -> bool:
        """Whether no answer came in the end."""
        return not self.asked.reply.fine


@attrs.define(kw_only=True)
class SteadyLoad:
    """Callers that each ask, wait a moment and ask again."""

    samples: list[Sample] = attrs.field(factory=list)
    _seeds: tuple[str, ...]
    _randomness: random.Random
    _stopped: bool = False
    _pool: eventlet.GreenPool = attrs.field(factory=eventlet.GreenPool)

    def start(self) -> None:
        """Start every caller."""
        for _ in range(_CALLERS):
            self._pool.spawn(self._call)

    def stop(self) -> None:
        """Let every caller finish its request and end."""
        self._stopped = True
        self._pool.waitall()

    def between(self, from_ms: float, to_ms: float) -> list[Sample]:
        """List the samples that ended between two times."""
        return [each for each in self.samples if from_ms <= each.at_ms < to_ms]

    def _call(self) -> None:
        caller = Caller(seeds=self._seeds)
        for _ in itertools.takewhile(self._goes_on, itertools.count()):
            key = self._randomness.randrange(KEYS)
            asked = caller.query(FRONT, _lookup(key))
            expected = Expected(keys=KEYS, wanted=frozenset((key,)))
            self.samples.append(
                Sample(
                    at_ms=_CLOCK.now_ms(),
                    asked=asked,
                    faults=tuple(faults_of(asked, expected)),
                ),
            )
            time.sleep(_GAP_S)

    def _goes_on(self, _: int) -> bool:
        return not self._stopped


def steady_load(seeds: list[str], seed: int) -> SteadyLoad:
    """Build a load that starts from these caller addresses."""
    return SteadyLoad(seeds=tuple(seeds), randomness=random.Random(seed))


def load_metrics(samples: list[Sample]) -> dict[str, float]:
    """Count what became of requests.

    Returns:
        Requests, those that failed, answers that were wrong, attempts that
        were cut without an answer, and the tail of latency.
    """
    times_ms = [sample.asked.took_ms for sample in samples]
    wrong = [each for each in samples if each.faults and not each.failed]
    return {
        'requests': len(samples),
        'failed': sum(sample.failed for sample in samples),
        'wrong': len(wrong),
        'cut': sum(len(sample.asked.cuts) for sample in samples),
        'p99_ms': percentile(times_ms, _TAIL) if times_ms else 0,
        **_failures_by_code(samples),
    }


def _failures_by_code(samples: list[Sample]) -> dict[str, float]:
    failed = [sample.asked.reply for sample in samples if sample.failed]
    codes = Counter(reply.body.get('code', 'no_answer') for reply in failed)
    return {f'failed_{code}': count for code, count in codes.items()}


def _lookup(key: int) -> dict[str, object]:
    return {
        'tenant': 'salvare-pe-ape',
        'class': 'lookup',
        'query': {'keys': [key]},
        'coverage': {'mode': 'whole'},
    }
