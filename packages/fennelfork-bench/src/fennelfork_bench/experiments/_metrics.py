"""Metrics and hedge policies shared by the experiments on answers."""

from typing import Any, Final, TypeAlias

from fennelfork_bench.callers._tally import Tally
from fennelfork_bench.experiments._load import LoadResult

HedgePolicy: TypeAlias = dict[str, Any]

_MEDIAN: Final = 0.5
_P99: Final = 0.99
_P999: Final = 0.999
_BUDGET: Final = 0.05
_FIXED_DELAY_MS: Final = 30
_QUANTILE: Final = 0.95

NO_HEDGE: Final[HedgePolicy] = {'policy': 'none'}
FIXED_HEDGE: Final[HedgePolicy] = {
    'policy': 'fixed',
    'delay_ms': _FIXED_DELAY_MS,
    'budget': _BUDGET,
}
QUANTILE_HEDGE: Final[HedgePolicy] = {
    'policy': 'quantile',
    'quantile': _QUANTILE,
    'delay_ms': _FIXED_DELAY_MS,
    'budget': _BUDGET,
}


def collect_latency_metrics(tally: Tally) -> dict[str, float]:
    """Return the median, p99 and p99.9 latency of answers."""
    return {
        'p50_ms': tally.answer_quantile_ms(_MEDIAN),
        'p99_ms': tally.answer_quantile_ms(_P99),
        'p999_ms': tally.answer_quantile_ms(_P999),
    }


def refusal_p99_ms(tally: Tally) -> float:
    """Return the p99 latency of refusals."""
    return tally.refusal_quantile_ms(_P99)


def collect_outcome_metrics(measured: LoadResult) -> dict[str, float]:
    """Return the number of requests per outcome and the machine load."""
    tally = measured.tally
    return {
        'queries': tally.counts['offered'],
        'answered': tally.counts['answered'],
        'complete': tally.counts['complete'],
        'refused': tally.counts['refused'],
        'lost': tally.counts['lost'] + tally.counts['given_up'],
        'coverage': tally.coverage_sum / max(tally.counts['answered'], 1),
        'connections_refused': measured.counts['connections_refused'],
        'load_average': measured.load_average,
    }
