"""Metrics that the experiments on answers share."""

from typing import Any, Final, TypeAlias

from fennelfork_bench.callers._tally import Tally
from fennelfork_bench.experiments._load import Measured

Hedge: TypeAlias = dict[str, Any]

_MEDIAN: Final = 0.5
_P99: Final = 0.99
_P999: Final = 0.999
_BUDGET: Final = 0.05
_FIXED_MS: Final = 30
_QUANTILE: Final = 0.95

NO_HEDGE: Final[Hedge] = {'policy': 'none'}
FIXED_HEDGE: Final[Hedge] = {
    'policy': 'fixed',
    'delay_ms': _FIXED_MS,
    'budget': _BUDGET,
}
QUANTILE_HEDGE: Final[Hedge] = {
    'policy': 'quantile',
    'quantile': _QUANTILE,
    'delay_ms': _FIXED_MS,
    'budget': _BUDGET,
}


def latency_metrics(tally: Tally) -> dict[str, float]:
    """Give the quantiles of the latency of answers."""
    return {
        'p50_ms': tally.quantile_ms(_MEDIAN),
        'p99_ms': tally.quantile_ms(_P99),
        'p999_ms': tally.quantile_ms(_P999),
    }


def refusal_p99_ms(tally: Tally) -> float:
    """Give the time to a refusal that 99 in 100 stay below."""
    return tally.refusal_ms(_P99)


def outcome_metrics(measured: Measured) -> dict[str, float]:
    """Give how many requests met each outcome, and how busy it all was."""
    tally = measured.tally
    return {
        'queries': tally.counts['offered'],
        'answered': tally.counts['answered'],
        'complete': tally.counts['complete'],
        'refused': tally.counts['refused'],
        'lost': tally.counts['lost'] + tally.counts['given_up'],
        'coverage': tally.fractions / max(tally.counts['answered'], 1),
        'connections_refused': measured.counts['connections_refused'],
        'load_average': measured.load_average,
    }
