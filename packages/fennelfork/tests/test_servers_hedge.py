"""Hedge delays and budgets of extra attempts."""

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
    """Delay of each hedge policy."""

    def test_none_and_fixed(self) -> None:
        """`NoHedge` has no delay, and `FixedHedge` the configured one."""
        assert hedge_delay_ms(NoHedge(), latencies()) is None
        assert hedge_delay_ms(FixedHedge(delay_ms=30), latencies()) == 30

    def test_quantile_of_recent_latencies(self) -> None:
        """The initial delay is replaced by the latency quantile."""
        policy = QuantileHedge(quantile=0.95, delay_ms=30)
        recent = latencies()
        assert hedge_delay_ms(policy, recent) == 30
        for latency_ms in range(1, 101):
            recent.record(latency_ms)
        assert hedge_delay_ms(policy, recent) == pytest.approx(95, rel=0.05)
        for _ in range(6000):
            recent.record(5)
        assert hedge_delay_ms(policy, recent) == pytest.approx(5, rel=0.05)

    def test_rejects_unsupported_policy(self) -> None:
        """A policy of another type raises `TypeError`."""
        with pytest.raises(TypeError, match='unsupported hedge policy'):
            hedge_delay_ms('often', latencies())


class TestBudget:
    """Deposits and withdrawals of tokens."""

    def test_deposits_pay_for_extra_attempts(self) -> None:
        """Twenty deposits of 0.05 pay for one attempt, up to the limit."""
        tokens = budget(0.05, limit=2)
        assert not tokens.withdraw()
        for _ in range(20):
            tokens.deposit()
        assert tokens.withdraw()
        assert not tokens.withdraw()
        for _ in range(1000):
            tokens.deposit()
        assert tokens.tokens == pytest.approx(2)

    def test_rejects_invalid_arguments(self) -> None:
        """A negative ratio or too many initial tokens raise `ValueError`."""
        for ratio, initial in ((-1, 0), (0.1, 3)):
            with pytest.raises(ValueError, match='invalid budget'):
                budget(ratio, limit=2, initial=initial)
