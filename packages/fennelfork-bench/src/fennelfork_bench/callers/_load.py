"""Open-loop load, which starts requests independently of the responses."""

import random
from collections.abc import Callable
from typing import Final

import attrs
from eventlet import GreenPool, sleep

from fennelfork import Clock, Verdict, system_clock, wall_clock
from fennelfork_bench.callers._client import caller_client
from fennelfork_bench.callers._reply import QueryOutcome
from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.callers._tally import Tally, add_latency
from fennelfork_bench.callers._truth import build_front_truth
from fennelfork_bench.checks._answer import check_answer_matches_request
from fennelfork_bench.checks._base import Violation
from fennelfork_bench.checks._coverage import check_coverage
from fennelfork_bench.checks._snapshot import check_snapshot
from fennelfork_bench.history._caller import QueryAnswered, Refused
from fennelfork_bench.history._history import (
    EventRecorder,
    History,
    merge_events,
    write_history,
)

_MS_PER_SECOND: Final = 1000
_MAX_VIOLATIONS: Final = 20


@attrs.define(kw_only=True)
class OpenLoopLoad:
    """Load with random gaps between requests, and the tally of outcomes.

    Attributes:
        tally: counts and latencies of the requests.
    """

    _spec: LoadSpec
    _clock: Clock
    _send_query: Callable[[int], QueryOutcome]
    tally: Tally = attrs.field(factory=Tally)

    def run(self) -> None:
        """Start each request when it is due and wait for all outcomes."""
        pool = GreenPool(self._spec.open_requests)
        gaps = random.Random(f'gaps {self._spec.seed}')
        first_ms = self._clock.now_ms()
        due_ms = first_ms
        for number in range(self._spec.count):
            due_ms += gaps.expovariate(self._spec.rate_per_s) * _MS_PER_SECOND
            self._wait_until(due_ms)
            self.tally.counts['offered'] += 1
            if pool.free() > 0:
                pool.spawn_n(self._run_request, number, due_ms)
            else:
                self.tally.counts['given_up'] += 1
        pool.waitall()
        self.tally.span_ms = self._clock.now_ms() - first_ms

    def _wait_until(self, due_ms: float) -> None:
        remaining_ms = due_ms - self._clock.now_ms()
        sleep(max(0, remaining_ms) / _MS_PER_SECOND)

    def _run_request(self, number: int, due_ms: float) -> None:
        outcome = self._send_query(number)
        record_outcome(self.tally, outcome, self._clock.now_ms() - due_ms)


def record_outcome(tally: Tally, outcome: QueryOutcome, took_ms: float) -> None:
    """Add the outcome of a request to a tally."""
    event = outcome.event
    if isinstance(event, QueryAnswered):
        _count_answer(tally, event)
        add_latency(tally.answer_latency, took_ms)
        for name, amount in attrs.asdict(outcome.work).items():
            tally.counts[name] += amount
    elif isinstance(event, Refused):
        tally.counts['refused'] += 1
        tally.counts[f'code_{event.code}'] += 1
        if event.verdict is Verdict.NOT_RUN:
            tally.counts['not_run'] += 1
        add_latency(tally.refusal_latency, took_ms)
    else:
        tally.counts['lost'] += 1


def run_load(spec: LoadSpec) -> Tally:
    """Run a load, check the answers and write the history."""
    recorder = EventRecorder(clock=wall_clock())
    client = caller_client(spec, recorder)
    load = OpenLoopLoad(
        spec=spec, clock=system_clock(), send_query=client.send_query
    )
    load.run()
    history = merge_events(recorder.events)
    for violation in _find_violations(spec, history)[:_MAX_VIOLATIONS]:
        load.tally.violations.append(
            f'{violation.guarantee.value}: {violation.detail}'
        )
    if spec.history:
        write_history(spec.history, history)
    return load.tally


def _count_answer(tally: Tally, event: QueryAnswered) -> None:
    tally.counts['answered'] += 1
    tally.counts['complete'] += event.complete
    tally.coverage_sum += event.fraction


def _find_violations(spec: LoadSpec, history: History) -> list[Violation]:
    truth = build_front_truth(spec.keys, spec.front_seed, spec.newest)
    return [
        *check_snapshot(history, truth),
        *check_coverage(history, truth),
        *check_answer_matches_request(history, truth),
    ]
