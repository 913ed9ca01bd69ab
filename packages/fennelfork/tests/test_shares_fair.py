"""Weighted fair allocation and weighted fair queueing."""

import pytest
from core_builders_home import AUDIT, COUNTER
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.shares import FairQueue, Flow, Shares, fair_rates

_SHARES = Shares(tenants={'salvare': 2}, classes={'counter': 4})
_RATES = st.floats(0.01, 100)


class TestFairRates:
    """Max-min fairness by weight."""

    def test_unused_share_is_reallocated(self) -> None:
        """Heavy flows share the rest by weight after a light flow."""
        other = Flow(tenant='third', traffic_class='audit')
        offered = {COUNTER: 100, AUDIT: 100, other: 0.5}
        granted = fair_rates(offered, _SHARES, capacity=9.5)
        assert granted[other] == pytest.approx(0.5)
        assert granted[COUNTER] == pytest.approx(8)
        assert granted[AUDIT] == pytest.approx(1)

    @given(_RATES, _RATES, _RATES)
    def test_allocates_available_capacity(
        self,
        counter: float,
        audit: float,
        capacity: float,
    ) -> None:
        """The allocation is the minimum of capacity and offered rate."""
        offered = {COUNTER: counter, AUDIT: audit}
        granted = fair_rates(offered, _SHARES, capacity)
        fits = min(capacity, counter + audit)
        assert sum(granted.values()) == pytest.approx(fits)
        assert all(granted[flow] <= offered[flow] + 1e-9 for flow in granted)


class TestFairQueue:
    """Order of jobs between flows and within a flow."""

    def test_turns_follow_weights(self) -> None:
        """The flow of weight 8 gets eight of nine turns."""
        queue = FairQueue(limit=99, shares=_SHARES)
        for number in range(20):
            queue.push(f'a{number}', AUDIT, 100)
            queue.push(f'c{number}', COUNTER, 100)
        taken = []
        for _ in range(18):
            job = next(queue.in_order())
            queue.dequeue(job)
            taken.append(job[0])
        assert taken.count('c') in {15, 16, 17}

    def test_earliest_deadline_first_in_a_flow(self) -> None:
        """Jobs of a flow are ordered by deadline, then by arrival."""
        queue = FairQueue(limit=9, shares=_SHARES)
        for job, deadline_ms in (('b', 50), ('a', 20), ('c', 50)):
            queue.push(job, COUNTER, deadline_ms)
        assert list(queue.in_order()) == ['a', 'b', 'c']
        assert queue.estimate_ahead(COUNTER, 50) == 3
        assert queue.estimate_ahead(COUNTER, 30) == 1
        assert queue.estimate_ahead(AUDIT, 30) == 3
