"""Whole sessions of operators, as golden files."""

from typing import Any

import pytest
from bench_builders_golden import session

from fennelfork_bench.rig._process import Rig

pytestmark = pytest.mark.process

_PATH = '/v1/config/patch'


def _patch(name: str, base: int, weight: int) -> dict[str, Any]:
    return {
        'base': base,
        'patch_id': f'{name}-1',
        'author': name,
        'patch': {'tenants': {'salvare': {'weight': weight}}},
    }


class TestPatches:
    """What crosses the interfaces when operators change the configuration."""

    def test_race(self, rig: Rig, snapshot) -> None:
        """The second of two patches of one version is told what changed."""
        running = session(rig)
        running.call('ana', 'operator', _PATH, _patch('ana', 1, 2))
        running.call('bruno', 'operator', _PATH, _patch('bruno', 1, 5))
        assert running.text == snapshot

    def test_lost_reply(self, rig: Rig, snapshot) -> None:
        """A patch whose write took effect unseen is one patch, not two."""
        running = session(rig)
        running.fleet.platform.switch(lose_replies=1)
        running.call('ana', 'operator', _PATH, _patch('ana', 1, 2))
        running.call('ana', 'operator', _PATH, _patch('ana', 1, 2))
        assert running.text == snapshot

    def test_bad(self, rig: Rig, snapshot) -> None:
        """A bad patch is refused with path and reason."""
        running = session(rig)
        running.call('ana', 'operator', _PATH, _patch('ana', 1, -3))
        assert running.text == snapshot
