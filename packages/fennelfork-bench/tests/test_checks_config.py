"""The checker of the promise that a configuration is in force."""

import pytest
from bench_builders_proof import (
    execute_answered,
    execute_asked,
    history,
    query_answered,
    query_asked,
)

from fennelfork_bench.checks._base import Limits
from fennelfork_bench.checks._config import check_active_configuration
from fennelfork_bench.history._daemon import Resumed, Started, VersionSeen
from fennelfork_bench.history._operator import PatchAccepted

_LIMITS = Limits(config_ms=7000)
_ACCEPTED = PatchAccepted(
    at_ms=1000,
    operator='op-1',
    patch_id='patch-1',
    version=2,
)


def _seen(at_ms: float, version: int, **changes: str) -> VersionSeen:
    fields = {'daemon': 'vm-1', 'digest': f'd{version}'} | changes
    return VersionSeen(at_ms=at_ms, version=version, **fields)


class TestCheckInForce:
    """Daemons that lag, revert or disagree are found."""

    @pytest.mark.parametrize(
        'events',
        [
            (_ACCEPTED, _seen(8001, 1)),
            (_seen(10, 2), _seen(20, 1)),
            (_seen(10, 2), _seen(20, 2, daemon='vm-2', digest='x')),
            (_seen(10, 2), query_asked(), query_answered()),
            (_seen(10, 2), execute_asked(), execute_answered()),
        ],
    )
    def test_bad(self, events) -> None:
        """A late, older or second document of a version is caught."""
        assert check_active_configuration(history(*events), _LIMITS)

    @pytest.mark.parametrize(
        'events',
        [
            (_ACCEPTED, _seen(8000, 1), _seen(8001, 2)),
            (_seen(10, 2), _seen(20, 1, daemon='vm-2')),
            (_ACCEPTED, Resumed(at_ms=5000, daemon='vm-1'), _seen(9000, 1)),
            (_ACCEPTED, Started(at_ms=5000, daemon='vm-1'), _seen(9000, 1)),
            (query_asked(), _seen(110, 2), query_answered()),
            (_seen(10, 2, daemon='vm-2'), query_asked(), query_answered()),
        ],
    )
    def test_near_miss(self, events) -> None:
        """Versions in time, other daemons and woken ones are good."""
        assert not check_active_configuration(history(*events), _LIMITS)

    def test_resumed_too_long_ago(self) -> None:
        """A daemon that woke long ago has no excuse."""
        woke = Resumed(at_ms=5000, daemon='vm-1')
        late = _seen(12001, 1)
        assert check_active_configuration(
            history(_ACCEPTED, woke, late), _LIMITS
        )
