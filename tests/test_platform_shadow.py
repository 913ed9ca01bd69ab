"""Tests that the folder `platform/` is separated from other modules."""

import pathlib
import re
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
_WIRE_NAMES = re.compile(
    r'X-(Request-Id|Deadline-Ms|Server-Stamp|Part-Stamps|Parts-Missing'
    '|Expect-Instance|Not-Executed)|/-/|FENNELFORK_NODE_FILE'
    '|LatencyGoalMs|MinCoverage|RouteType|WarmupLeftMs|ExpectedRev',
)


class TestShadow:
    """Import of the standard module and isolation of wire names."""

    def test_standard_module(self) -> None:
        """`import platform` in the root imports the standard library."""
        code = 'import platform; print(platform.python_version())'
        found = subprocess.run(
            [sys.executable, '-c', code],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        assert found.stdout.split('.')[0] == '3'
        assert not (_ROOT / 'platform' / '__init__.py').exists()

    def test_wire_names_are_isolated(self) -> None:
        """No source under `packages/` contains a wire name."""
        found = [
            f'{path.relative_to(_ROOT)}: {match.group()}'
            for path in (_ROOT / 'packages').rglob('src/**/*.py')
            for match in _WIRE_NAMES.finditer(path.read_text(encoding='utf-8'))
        ]
        assert not found
