"""Fixtures of tests that start real processes."""

from collections.abc import Iterator

import pytest

from fennelfork_bench.rig._process import Rig, rig


@pytest.fixture
def processes() -> Iterator[Rig]:
    """Yield a rig that ends its processes after the test."""
    with rig() as started:
        yield started
