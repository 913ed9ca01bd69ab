"""Scripted failures on the stand-ins of the platform, with real processes."""

import pytest

from fennelfork_platform_bench.day import run


@pytest.mark.process
class TestDay:
    """Daemons, servers and the store fail while callers check answers."""

    def test_responses_are_correct(self) -> None:
        """Every answer is complete or marked partial, and few are missing."""
        report = run(seed=1)
        assert not report.failures
        assert report.arms[0].metrics.keys() == {'answered'}
