"""The short day on the stand-ins of the platform, on real processes."""

import pytest

from fennelfork_platform_bench.day import run


@pytest.mark.process
class TestDay:
    """Daemons, servers and the store fail while callers ask and check."""

    def test_responses_are_correct(self) -> None:
        """Every answer is whole or says what is missing; few get none."""
        report = run(seed=1)
        assert not report.failures
        assert report.arms[0].metrics.keys() == {'answered'}
