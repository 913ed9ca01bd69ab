"""Steady load of lookups for experiments that inject faults."""

import itertools
import random
import time
from collections import Counter
from typing import Final

import attrs
import eventlet

from fennelfork import system_clock
from fennelfork_bench.demo._check import ExpectedAnswer, find_faults
from fennelfork_bench.experiments._small_fleet import FRONT, KEYS
from fennelfork_bench.rig._caller import Caller, RequestResult
from fennelfork_bench.rig._report import percentile

_CLOCK: Final = system_clock()
_CALLERS: Final = 8
_PAUSE_S: Final = 0.03
_P99: Final = 0.99


@attrs.frozen(kw_only=True)
class Sample:
    """Completed request of the load.

    Attributes:
        at_ms: time of the final answer.
        faults: faults found in the answer; empty if the answer is correct.
    """

    at_ms: float
    result: RequestResult
    faults: tuple[str, ...]

    @property
    def failed(self) -> bool:
        """Whether the request ended without a successful answer."""
        return not self.result.reply.is_success


@attrs.define(kw_only=True)
class SteadyLoad:
    """Callers that send requests with a short pause in between."""

    samples: list[Sample] = attrs.field(factory=list)
    _seeds: tuple[str, ...]
    _rng: random.Random
    _stopped: bool = False
    _pool: eventlet.GreenPool = attrs.field(factory=eventlet.GreenPool)

    def start(self) -> None:
        """Start every caller."""
        for _ in range(_CALLERS):
            self._pool.spawn(self._run_caller)

    def stop(self) -> None:
        """Stop every caller after the current request."""
        self._stopped = True
        self._pool.waitall()

    def samples_between(self, from_ms: float, to_ms: float) -> list[Sample]:
        """Return the samples that completed between two times."""
        return [each for each in self.samples if from_ms <= each.at_ms < to_ms]

    def _run_caller(self) -> None:
        caller = Caller(seeds=self._seeds)
        for _ in itertools.takewhile(self._is_running, itertools.count()):
            key = self._rng.randrange(KEYS)
            result = caller.query(FRONT, _build_lookup(key))
            expected = ExpectedAnswer(keys=KEYS, wanted=frozenset((key,)))
            self.samples.append(
                Sample(
                    at_ms=_CLOCK.now_ms(),
                    result=result,
                    faults=tuple(find_faults(result, expected)),
                ),
            )
            time.sleep(_PAUSE_S)

    def _is_running(self, _: int) -> bool:
        return not self._stopped


def steady_load(seeds: list[str], seed: int) -> SteadyLoad:
    """Build a load whose callers start from the given addresses."""
    return SteadyLoad(seeds=tuple(seeds), rng=random.Random(seed))


def collect_load_metrics(samples: list[Sample]) -> dict[str, float]:
    """Return the metrics of completed requests.

    Returns:
        Numbers of requests, failed requests, wrong answers and attempts cut
        off without an answer, and the p99 latency.
    """
    times_ms = [sample.result.took_ms for sample in samples]
    wrong = [each for each in samples if each.faults and not each.failed]
    return {
        'requests': len(samples),
        'failed': sum(sample.failed for sample in samples),
        'wrong': len(wrong),
        'cut': sum(len(sample.result.connection_errors) for sample in samples),
        'p99_ms': percentile(times_ms, _P99) if times_ms else 0,
        **_failures_by_code(samples),
    }


def _failures_by_code(samples: list[Sample]) -> dict[str, float]:
    failed = [sample.result.reply for sample in samples if sample.failed]
    codes = Counter(reply.body.get('code', 'no_answer') for reply in failed)
    return {f'failed_{code}': count for code, count in codes.items()}


def _build_lookup(key: int) -> dict[str, object]:
    return {
        'tenant': 'salvare-pe-ape',
        'class': 'lookup',
        'query': {'keys': [key]},
        'coverage': {'mode': 'whole'},
    }
