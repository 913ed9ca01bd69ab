"""Weighted fair shares of tenants and traffic classes."""

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
    """Weights of tenants and traffic classes; the default weight is 1."""

    tenants: Mapping[str, float] = attrs.field(factory=dict)
    classes: Mapping[str, float] = attrs.field(factory=dict)

    def flow_weight(self, flow: Flow) -> float:
        """Return the weight of the tenant times that of the traffic class."""
        return self.tenants.get(
            flow.tenant,
            _DEFAULT_WEIGHT,
        ) * self.classes.get(flow.traffic_class, _DEFAULT_WEIGHT)


def fair_rates(
    offered: Mapping[Flow, float],
    shares: Shares,
    capacity: float,
) -> dict[Flow, float]:
    """Allocate a capacity by weighted max-min fairness.

    Args:
        offered: offered rate of each flow.
        shares: weights of the flows.
        capacity: total rate to allocate.

    Returns:
        The allocated rate of each flow. Flows that offer less than their share
        get the offered rate; the other flows share the remainder.
    """
    granted: dict[Flow, float] = {}
    remaining = capacity
    by_relative_rate = sorted(
        offered, key=lambda flow: offered[flow] / shares.flow_weight(flow)
    )
    remaining_weight = sum(
        shares.flow_weight(flow) for flow in by_relative_rate
    )
    for flow in by_relative_rate:
        weight = shares.flow_weight(flow)
        granted[flow] = min(
            offered[flow], remaining * weight / remaining_weight
        )
        remaining -= granted[flow]
        remaining_weight -= weight
    return granted
