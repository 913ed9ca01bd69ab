"""Hypothesis profiles and fixtures for the tests of the command line."""

import os
import pathlib
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings

from fennelfork_cli import _patch
from fennelfork_cli.__main__ import run

settings.register_profile('ci', derandomize=True, deadline=None)
settings.register_profile(
    'long',
    derandomize=False,
    deadline=None,
    max_examples=2000,
    stateful_step_count=80,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture(autouse=True)
def _no_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_patch, '_RETRY_DELAY_S', 0)


@pytest.fixture
def patch_file(tmp_path: pathlib.Path) -> str:
    """Write a patch file that changes one value."""
    path = tmp_path / 'hedge.toml'
    path.write_text('[fronts.raft-search.hedge]\ndelay_ms = 20\n')
    return str(path)


@pytest.fixture
def command(capsys: pytest.CaptureFixture[str]) -> Callable[..., Any]:
    """Return a function that runs a command.

    The function returns the exit code, standard output and standard error.
    """
    return lambda *tokens: (run(tokens), *capsys.readouterr())
