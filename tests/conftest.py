"""Fixtures of tests on real processes."""

from collections.abc import Iterator

import pytest

from fennelfork_bench.rig._process import Rig, rig


@pytest.fixture
def processes() -> Iterator[Rig]:
    """Give a rig that ends what was started."""
    with rig() as started:
        yield started
