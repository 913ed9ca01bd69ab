"""Resources of one idle daemon."""

import pytest

from fennelfork_platform_bench.footprint import run

# Detects the memory of an additional library.
_MAX_PRIVATE_MB = 27


@pytest.mark.process
class TestFootprint:
    """Memory, start time and imported modules of an idle daemon."""

    def test_resource_bounds(self) -> None:
        """The daemon on the platform stays within its bounds."""
        report = run(seed=1)
        routes, fronts = report.arms
        assert routes.metrics['private_mb'] < _MAX_PRIVATE_MB
        assert routes.metrics['start_ms'] > 0
        assert routes.metrics['modules'] < fronts.metrics['modules']
