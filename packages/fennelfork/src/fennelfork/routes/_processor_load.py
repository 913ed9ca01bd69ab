"""Load of the processor of one daemon, which all its requests share."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork.shares import Urgency

# Share of the load that one lag takes away.
_SURPLUS_SHARE: Final = 0.2
# Share of their requests in flight that one lag leaves to the least urgent.
_MIN_KEPT_SHARE: Final = 0.25


@attrs.frozen(kw_only=True)
class LimitLoad:
    """Load of the requests under one concurrency limit.

    Attributes:
        in_flight: number of requests in flight.
        width: number of services that each request is sent to.
        urgency: rank of the most urgent of these requests.
        min_limit: lower bound of the limit.
    """

    in_flight: int
    width: int
    urgency: Urgency
    min_limit: float

    @property
    def sub_requests(self) -> float:
        """Number of sub-requests in flight."""
        return self.in_flight * self.width

    @property
    def spare(self) -> float:
        """Number of sub-requests that the limit may take away at once."""
        least = max(self.min_limit, self.in_flight * _MIN_KEPT_SHARE)
        return max(0, self.in_flight - least) * self.width


def requests_to_keep(loads: Iterable[LimitLoad]) -> dict[int, float]:
    """Return how many requests each limit keeps after a lag.

    The least urgent requests give up the surplus first.

    Args:
        loads: loads of all limits.

    Returns:
        The number of requests of the limits that change, by position.
    """
    known = list(loads)
    surplus = _SURPLUS_SHARE * sum(load.sub_requests for load in known)
    kept = {}
    by_urgency = sorted(
        enumerate(known), key=lambda entry: entry[1].urgency, reverse=True
    )
    for index, load in by_urgency:
        given_up = min(surplus, load.spare)
        kept[index] = load.in_flight - given_up / load.width
        surplus -= given_up
        if surplus <= 0:
            break
    return kept
