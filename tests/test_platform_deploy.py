"""Tests that the deployed requirements suffice for the daemon."""

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
# Modules of packages whose names differ, with their dependencies.
_MODULES = {
    'attrs': {'attr', 'attrs'},
    'eventlet': {'eventlet', 'greenlet', 'dns'},
    'hdrhistogram': {'hdrh', 'pyhdrh', 'pbr'},
    'lazy_loader': {'lazy_loader', 'packaging'},
    'returns': {'returns', 'typing_extensions'},
}
_PROJECT_MODULES = {'fennelfork', 'fennelfork_daemon', 'fennelfork_platform'}
_LIST_IMPORTS = """
import sys
before = set(sys.modules)
import fennelfork_platform.__main__
for name in set(sys.modules) - before:
    origin = getattr(sys.modules[name], '__file__', None) or ''
    if 'site-packages' in origin:
        print(name.partition('.')[0])
"""


class TestRequirements:
    """The libraries in deploy/requirements.txt."""

    def test_no_other_library(self) -> None:
        """The daemon imports only libraries in deploy/requirements.txt."""
        lines = (_ROOT / 'deploy/requirements.txt').read_text().splitlines()
        packages = [line for line in lines if line and not line.startswith('#')]
        provided = set().union(
            *(_MODULES.get(name, {name}) for name in packages)
        )
        outcome = subprocess.run(
            [sys.executable, '-OO', '-c', _LIST_IMPORTS],
            capture_output=True,
            check=True,
            text=True,
        )
        assert (
            set(outcome.stdout.split()) - provided - _PROJECT_MODULES == set()
        )
