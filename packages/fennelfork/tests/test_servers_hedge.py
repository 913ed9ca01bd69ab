"""Hedge delays from recent latencies, and the budgets of extra work."""

import pytest

from fennelfork.servers import (
    FixedHedge,
    NoHedge,
    QuantileHedge,
    budget,
    hedge_delay_ms,
    latencies,
)


class TestDelay:
    """The three policies."""

    def test_none_and_fixed(self) -> None:
        """One never hedges, one waits for what it is told."""
        assert hedge_delay_ms(NoHedge(), latencies()) is None
        assert hedge_delay_ms(FixedHedge(delay_ms=30), latencies()) == 30

    def test_quantile_of_recent_latencies(self) -> None:
        """The delay starts as set and follows the shard's own latency."""
        policy = QuantileHedge(quantile=0.95, delay_ms=30)
        recent = latencies()
        assert hedge_delay_ms(policy, recent) == 30
        for latency_ms in range(1, 101):
            recent.record(latency_ms)
        assert hedge_delay_ms(policy, recent) == pytest.approx(95, rel=0.05)
        for _ in range(6000):
            recent.record(5)
        assert hedge_delay_ms(policy, recent) == pytest.approx(5, rel=0.05)

    def test_refuses_what_is_no_policy(self) -> None:
        """A policy of another type is a defect."""
        with pytest.raises(TypeError, match='not a hedge policy'):
            hedge_delay_ms('often', latencies())


class TestBudget:
    """Tokens."""

    def test_ordinary_work_pays_for_extra(self) -> None:
        """Twenty runs at 5% pay for one more, and no more than the limit."""
        tokens = budget(0.05, limit=2)
        assert not tokens.withdraw()
        for _ in range(20):
            tokens.deposit()
        assert tokens.withdraw()
        assert not tokens.withdraw()
        for _ in range(1000):
            tokens.deposit()
        assert tokens.tokens == pytest.approx(2)

    def test_refuses_nonsense(self) -> None:
        """A negative ratio and more tokens than the limit are defects."""
        for ratio, initial in ((-1, 0), (0.1, 3)):
            with pytest.raises(ValueError, match='not a budget'):
                budget(ratio, limit=2, initial=initial)
