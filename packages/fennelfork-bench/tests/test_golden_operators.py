"""Golden files of operator sessions."""

from typing import Any

import pytest
from bench_builders_golden import start_session

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
    """Messages when operators change the configuration."""

    def test_race(self, rig: Rig, snapshot) -> None:
        """The second of two patches of one version returns the conflict."""
        transcript = start_session(rig)
        transcript.call('ana', 'operator', _PATH, _patch('ana', 1, 2))
        transcript.call('bruno', 'operator', _PATH, _patch('bruno', 1, 5))
        assert transcript.text == snapshot

    def test_lost_reply(self, rig: Rig, snapshot) -> None:
        """A retried patch after a lost store response is applied once."""
        transcript = start_session(rig)
        transcript.fleet.platform.set_faults(lose_replies=1)
        transcript.call('ana', 'operator', _PATH, _patch('ana', 1, 2))
        transcript.call('ana', 'operator', _PATH, _patch('ana', 1, 2))
        assert transcript.text == snapshot

    def test_bad(self, rig: Rig, snapshot) -> None:
        """An invalid patch is refused with path and reason."""
        transcript = start_session(rig)
        transcript.call('ana', 'operator', _PATH, _patch('ana', 1, -3))
        assert transcript.text == snapshot
