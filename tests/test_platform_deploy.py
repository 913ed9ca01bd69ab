"""What the build brings is all that the program on the platform needs."""

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
# Packages whose modules have another name, and what they need themselves.
_MODULES = {
    'attrs': {'attr', 'attrs'},
    'eventlet': {'eventlet', 'greenlet', 'dns'},
    'hdrhistogram': {'hdrh', 'pyhdrh', 'pbr'},
    'lazy_loader': {'lazy_loader', 'packaging'},
    'returns': {'returns', 'typing_extensions'},
}
_OURS = {'fennelfork', 'fennelfork_daemon', 'fennelfork_platform'}
_IMPORTED = """
import sys
before = set(sys.modules)
import fennelfork_platform.__main__
for name in set(sys.modules) - before:
    origin = getattr(sys.modules[name], '__file__', None) or ''
    if 'site-packages' in origin:
        print(name.partition('.')[0])
"""


class TestRequirements:
    """The program is started with nothing else installed."""

    def test_no_other_library(self) -> None:
        """It imports only what deploy/requirements.txt names."""
        lines = (_ROOT / 'deploy/requirements.txt').read_text().splitlines()
        named = [line for line in lines if line and not line.startswith('#')]
        brought = set().union(*(_MODULES.get(one, {one}) for one in named))
        found = subprocess.run(
            [sys.executable, '-OO', '-c', _IMPORTED],
            capture_output=True,
            check=True,
            text=True,
        )
        assert set(found.stdout.split()) - brought - _OURS == set()
