"""The folder `platform/` stands beside the standard library's module."""

import pathlib
import re
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
_NAMES = re.compile(
    r'X-(Request-Id|Deadline-Ms|Server-Stamp|Part-Stamps|Parts-Missing'
    '|Expect-Instance|Not-Executed)|/-/|FENNELFORK_NODE_FILE'
    '|LatencyGoalMs|MinCoverage|RouteType|WarmupLeftMs|ExpectedRev',
)


class TestShadow:
    """The folder's name does not get in the way, and its words stay inside."""

    def test_the_standard_module_is_found(self) -> None:
        """From the repository's root, `import platform` is the library's."""
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

    def test_no_name_of_the_platform_outside(self) -> None:
        """No source of the product holds a name of the platform's wire."""
        found = [
            f'{path.relative_to(_ROOT)}: {match.group()}'
            for path in (_ROOT / 'packages').rglob('src/**/*.py')
            for match in _NAMES.finditer(path.read_text(encoding='utf-8'))
        ]
        assert not found
