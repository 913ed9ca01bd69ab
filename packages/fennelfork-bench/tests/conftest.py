"""Fixtures that start real processes for the tests of the bench."""

from collections.abc import Iterator

import pytest
from bench_builders_platform import KeyValueClient

from fennelfork_bench._rig_process import Rig
from fennelfork_bench._rig_process import rig as new_rig


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Give a rig that ends its processes after the test."""
    with new_rig() as started:
        yield started


@pytest.fixture
def key_value(rig: Rig) -> KeyValueClient:
    """Give a client of a fresh key-value stand-in."""
    process = rig.start_module('key-value', 'fennelfork_bench.kv')
    return KeyValueClient(process=process.await_ready())
