"""Counts and histograms of what callers got, which add up."""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, Final

import attrs
from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 600_000_000
_DIGITS: Final = 3
_US_PER_MS: Final = 1000
_PERCENT: Final = 100


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


@attrs.define(kw_only=True, eq=False)
class Tally:
    """What a load of requests came to.

    Attributes:
        counts: how many requests met each outcome, and the sums of the work
            that the answers report.
        fractions: sum of the fractions of all answers.
        violations: broken promises, in words.
        span_ms: from the first request due to the last end.
        answers: latency of answers, from when the request was due.
        refusals: the same of refusals.
    """

    counts: Counter[str] = attrs.field(factory=Counter)
    fractions: float = 0
    violations: list[str] = attrs.field(factory=list)
    span_ms: float = 0
    answers: HdrHistogram = attrs.field(factory=_histogram)
    refusals: HdrHistogram = attrs.field(factory=_histogram)

    def quantile_ms(self, share: float) -> float:
        """Give a quantile of the latency of answers."""
        return _quantile_ms(self.answers, share)

    def refusal_ms(self, share: float) -> float:
        """Give a quantile of the time to a refusal."""
        return _quantile_ms(self.refusals, share)

    def per_second(self, name: str) -> float:
        """Give a count by second of the span."""
        return self.counts[name] * _US_PER_MS / max(self.span_ms, 1)

    def ratio(self, name: str, base: str) -> float:
        """Give one count as a share of another; 0 of nothing."""
        return self.counts[name] / max(self.counts[base], 1)

    def to_json(self) -> str:
        """Write the tally as one line."""
        return json.dumps(
            {
                'counts': self.counts,
                'fractions': self.fractions,
                'violations': self.violations,
                'span_ms': self.span_ms,
                'answers': self.answers.encode().decode(),
                'refusals': self.refusals.encode().decode(),
            },
        )


def parse_tally(line: str) -> Tally:
    """Read what `Tally.to_json` wrote."""
    fields: dict[str, Any] = json.loads(line)
    return Tally(
        counts=Counter(fields['counts']),
        fractions=fields['fractions'],
        violations=fields['violations'],
        span_ms=fields['span_ms'],
        answers=HdrHistogram.decode(fields['answers']),
        refusals=HdrHistogram.decode(fields['refusals']),
    )


def add_latency(histogram: HdrHistogram, latency_ms: float) -> None:
    """Record one latency."""
    histogram.record_value(max(_LOWEST_US, round(latency_ms * _US_PER_MS)))


def beside(tallies: Iterable[Tally]) -> Tally:
    """Add tallies of loads that ran at the same time."""
    return _added(tallies, max)


def in_turn(tallies: Iterable[Tally]) -> Tally:
    """Add tallies of loads that ran one after the other."""
    return _added(tallies, sum)


def _added(tallies: Iterable[Tally], span: Any) -> Tally:
    parts = list(tallies)
    total = Tally(span_ms=span(part.span_ms for part in parts))
    for part in parts:
        total.counts.update(part.counts)
        total.fractions += part.fractions
        total.violations.extend(part.violations)
        total.answers.add(part.answers)
        total.refusals.add(part.refusals)
    return total


def _quantile_ms(histogram: HdrHistogram, share: float) -> float:
    micros = histogram.get_value_at_percentile(share * _PERCENT)
    return float(micros) / _US_PER_MS
