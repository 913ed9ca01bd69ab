"""Shares of a capacity by urgency, then by weighted fairness."""

from collections.abc import Mapping
from operator import itemgetter
from typing import Final

from fennelfork.shares._fair import Flow, Shares, fair_rates
from fennelfork.shares._urgency import Urgency

# Share of what all flows are served on average that no flow falls below. The
# margin above a quarter is for chance.
_MIN_SERVED_RATIO: Final = 1 / 3

# Rates of flows, by urgency.
RankedRates = Mapping[Urgency, Mapping[Flow, float]]


def ranked_rates(
    offered: RankedRates, shares: Shares, capacity: float
) -> RankedRates:
    """Allocate a capacity by urgency, then by weighted max-min fairness.

    No flow is starved: each gets at least a third of the share of its
    requests that all flows together are served.

    Args:
        offered: offered rate of each flow, by urgency.
        shares: weights of the flows.
        capacity: total rate to allocate.

    Returns:
        The allocated rate of each flow, by urgency.
    """
    total = sum(sum(rates.values()) for rates in offered.values())
    if total <= capacity:
        return offered
    least = _MIN_SERVED_RATIO * capacity / total
    remaining = capacity * (1 - _MIN_SERVED_RATIO)
    granted = {}
    for urgency, rates in sorted(offered.items(), key=itemgetter(0)):
        added = fair_rates(_scale(rates, 1 - least), shares, remaining)
        remaining = max(0, remaining - sum(added.values()))
        granted[urgency] = {
            flow: rate * least + added[flow] for flow, rate in rates.items()
        }
    return granted


def _scale(rates: Mapping[Flow, float], factor: float) -> dict[Flow, float]:
    return {flow: rate * factor for flow, rate in rates.items()}
