"""What one daemon costs before it serves anyone."""

import pytest

from fennelfork_platform_bench.footprint import run

# Private memory is 23 MB; what a library more would cost shows here first.
_MAX_PRIVATE_MB = 27


@pytest.mark.process
class TestFootprint:
    """The report, and a bound on what a daemon holds at rest."""

    def test_resource_bounds(self) -> None:
        """The daemon on the platform stays small."""
        report = run(seed=1)
        routes, fronts = report.arms
        assert routes.metrics['private_mb'] < _MAX_PRIVATE_MB
        assert routes.metrics['start_ms'] > 0
        assert routes.metrics['modules'] < fronts.metrics['modules']
