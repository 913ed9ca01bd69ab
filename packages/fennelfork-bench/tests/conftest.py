"""Hypothesis profiles and fixtures for the tests of the bench."""

import os
from collections.abc import Iterator

import pytest
from bench_builders_platform import KeyValueClient
from hypothesis import settings

from fennelfork_bench.rig._process import Rig
from fennelfork_bench.rig._process import rig as new_rig

settings.register_profile('ci', derandomize=True, deadline=None)
settings.register_profile(
    'long',
    derandomize=False,
    deadline=None,
    max_examples=2000,
    stateful_step_count=80,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Provide a rig that stops its processes after the test."""
    with new_rig() as started:
        yield started


@pytest.fixture
def key_value(rig: Rig) -> KeyValueClient:
    """Provide a client of a new key-value store stand-in."""
    process = rig.start_module('key-value', 'fennelfork_bench.kv')
    return KeyValueClient(process=process.await_ready())
