"""Tests the check that accepted configurations become and stay active."""

import pytest
from bench_builders_proof import (
    execute_answered,
    execute_asked,
    history,
    query_answered,
    query_asked,
)

from fennelfork_bench.checks._base import TimeLimits
from fennelfork_bench.checks._config import check_active_configuration
from fennelfork_bench.history._daemon import Resumed, Started, VersionSeen
from fennelfork_bench.history._operator import PatchAccepted

_LIMITS = TimeLimits(config_ms=7000)
_ACCEPTED = PatchAccepted(
    at_ms=1000,
    operator='op-1',
    patch_id='patch-1',
    version=2,
)


def _seen(at_ms: float, version: int, **changes: str) -> VersionSeen:
    fields = {'daemon': 'vm-1', 'digest': f'd{version}'} | changes
    return VersionSeen(at_ms=at_ms, version=version, **fields)


class TestCheckActiveConfiguration:
    """Detection of daemons that lag, revert or disagree."""

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
    def test_violations(self, events) -> None:
        """Late, reverted and conflicting versions are detected."""
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
    def test_valid(self, events) -> None:
        """Timely versions, other daemons and resumed daemons are valid."""
        assert not check_active_configuration(history(*events), _LIMITS)

    def test_late_after_resumption(self) -> None:
        """A daemon that lags long after its resumption is detected."""
        resumed = Resumed(at_ms=5000, daemon='vm-1')
        late = _seen(12001, 1)
        assert check_active_configuration(
            history(_ACCEPTED, resumed, late), _LIMITS
        )
