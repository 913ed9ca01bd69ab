"""Resources of one idle daemon."""

import subprocess
import sys

import pytest

from fennelfork_platform_bench.footprint import run

# Modules that a daemon on the platform does not use.
_UNUSED_MODULES = (
    'asyncio',
    'better_exceptions',
    'colorama',
    'fennelfork.config._document',
    'fennelfork_daemon.settings._rules',
    'fennelfork_daemon.settings._tables',
    'rich',
)
_PRINT_MODULES = 'import sys, fennelfork_platform.__main__; print(*sys.modules)'
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


class TestImports:
    """All daemons lost power, and each imports its modules before it serves."""

    def test_unused_modules(self) -> None:
        """The start does not import modules that the daemon does not use."""
        process = subprocess.run(  # the command is constant
            (sys.executable, '-OO', '-c', _PRINT_MODULES),
            check=True,
            capture_output=True,
            text=True,
        )
        assert not set(_UNUSED_MODULES) & set(process.stdout.split())
