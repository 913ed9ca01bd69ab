"""Mergeable counts and latency histograms of the requests of callers."""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, Final

import attrs
from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US: Final = 1
_MAX_LATENCY_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_MS: Final = 1000
_PERCENT: Final = 100


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@attrs.define(kw_only=True, eq=False)
class Tally:
    """Outcomes of the requests of a load.

    Attributes:
        counts: number of requests by outcome, and sums of the work that the
            answers report.
        coverage_sum: sum of the coverage fractions of all answers.
        violations: descriptions of violated guarantees.
        span_ms: time from the start of the load to the last outcome, in
            milliseconds.
        answer_latency: latency of answers from the time the request was due.
        refusal_latency: latency of refusals from the time the request was due.
    """

    counts: Counter[str] = attrs.field(factory=Counter)
    coverage_sum: float = 0
    violations: list[str] = attrs.field(factory=list)
    span_ms: float = 0
    answer_latency: HdrHistogram = attrs.field(factory=_new_histogram)
    refusal_latency: HdrHistogram = attrs.field(factory=_new_histogram)

    def answer_quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latency of answers in milliseconds."""
        return _quantile_ms(self.answer_latency, fraction)

    def refusal_quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latency of refusals in milliseconds."""
        return _quantile_ms(self.refusal_latency, fraction)

    def per_second(self, name: str) -> float:
        """Return a count divided by the duration of the load in seconds."""
        return self.counts[name] * _US_PER_MS / max(self.span_ms, 1)

    def ratio(self, name: str, base: str) -> float:
        """Return the ratio of two counts; the denominator is at least 1."""
        return self.counts[name] / max(self.counts[base], 1)

    def to_json(self) -> str:
        """Serialise the tally as one line of JSON."""
        return json.dumps(
            {
                'counts': self.counts,
                'fractions': self.coverage_sum,
                'violations': self.violations,
                'span_ms': self.span_ms,
                'answers': self.answer_latency.encode().decode(),
                'refusals': self.refusal_latency.encode().decode(),
            },
        )


def parse_tally(line: str) -> Tally:
    """Parse the output of `Tally.to_json`."""
    fields: dict[str, Any] = json.loads(line)
    return Tally(
        counts=Counter(fields['counts']),
        coverage_sum=fields['fractions'],
        violations=fields['violations'],
        span_ms=fields['span_ms'],
        answer_latency=HdrHistogram.decode(fields['answers']),
        refusal_latency=HdrHistogram.decode(fields['refusals']),
    )


def add_latency(histogram: HdrHistogram, latency_ms: float) -> None:
    """Record a latency in a histogram."""
    histogram.record_value(max(_MIN_LATENCY_US, round(latency_ms * _US_PER_MS)))


def merge_parallel(tallies: Iterable[Tally]) -> Tally:
    """Merge the tallies of loads that ran at the same time."""
    return _merge(tallies, max)


def merge_sequential(tallies: Iterable[Tally]) -> Tally:
    """Merge the tallies of loads that ran one after the other."""
    return _merge(tallies, sum)


def _merge(tallies: Iterable[Tally], merge_spans: Any) -> Tally:
    parts = list(tallies)
    total = Tally(span_ms=merge_spans(part.span_ms for part in parts))
    for part in parts:
        total.counts.update(part.counts)
        total.coverage_sum += part.coverage_sum
        total.violations.extend(part.violations)
        total.answer_latency.add(part.answer_latency)
        total.refusal_latency.add(part.refusal_latency)
    return total


def _quantile_ms(histogram: HdrHistogram, fraction: float) -> float:
    micros = histogram.get_value_at_percentile(fraction * _PERCENT)
    return float(micros) / _US_PER_MS
