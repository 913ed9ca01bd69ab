"""Fair shares between tenants and traffic classes."""

from collections.abc import Mapping
from typing import Final

import attrs

_DEFAULT_WEIGHT: Final = 1.0


@attrs.frozen(kw_only=True, order=True)
class Flow:
    """The requests of one tenant in one traffic class."""

    tenant: str
    traffic_class: str


@attrs.frozen(kw_only=True)
class Shares:
    """Weights of tenants and classes; one that is not named weighs 1."""

    tenants: Mapping[str, float] = attrs.field(factory=dict)
    classes: Mapping[str, float] = attrs.field(factory=dict)

    def weight(self, flow: Flow) -> float:
        """Give the weight of a flow, the product of its two weights."""
        return self.tenants.get(
            flow.tenant,
            _DEFAULT_WEIGHT,
        ) * self.classes.get(flow.traffic_class, _DEFAULT_WEIGHT)


def fair_rates(
    offered: Mapping[Flow, float],
    shares: Shares,
    capacity: float,
) -> dict[Flow, float]:
    """Share out a capacity, max-min fair by weight.

    Args:
        offered: the rate that each flow offers.
        shares: the weights.
        capacity: the rate to share out.

    Returns:
        The rate that each flow gets: all it offers while that is below its
        share; what such flows leave is shared by the others.
    """
    granted: dict[Flow, float] = {}
    remaining = capacity
    by_relative_rate = sorted(
        offered, key=lambda flow: offered[flow] / shares.weight(flow)
    )
    remaining_weight = sum(shares.weight(flow) for flow in by_relative_rate)
    for flow in by_relative_rate:
        weight = shares.weight(flow)
        granted[flow] = min(
            offered[flow], remaining * weight / remaining_weight
        )
        remaining -= granted[flow]
        remaining_weight -= weight
    return granted
