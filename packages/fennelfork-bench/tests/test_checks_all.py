"""Tests that a history is checked by all checkers."""

import pytest
from bench_builders_proof import (
    execute_ran,
    expected_index,
    history,
    partial_answer,
    query_answered,
    query_asked,
    query_ran,
    received,
    refused,
)

from fennelfork_bench.checks._all import check_history
from fennelfork_bench.checks._base import Guarantee, TimeLimits
from fennelfork_bench.history._daemon import StopAsked, VersionSeen
from fennelfork_bench.history._operator import DocumentRead, PatchSeen
from fennelfork_bench.history._server import DrainAsked

_PATCH = PatchSeen(patch_id='a', version=2)
_BROKEN = (
    (Guarantee.ONE_SNAPSHOT, (query_asked(), query_answered(snapshot=3))),
    (Guarantee.TRUE_COVERAGE, (query_asked(), query_answered(fraction=0.5))),
    (Guarantee.OWN_ANSWER, (query_asked(), partial_answer())),
    (Guarantee.TRUE_REFUSAL, (query_asked(), query_ran(), refused())),
    (Guarantee.AT_MOST_ONCE, (execute_ran(), execute_ran())),
    (
        Guarantee.DRAIN,
        (DrainAsked(at_ms=1, server='raft-a'), received(at_ms=9000)),
    ),
    (Guarantee.GRACEFUL_STOP, (StopAsked(at_ms=1, daemon='vm-1'),)),
    (
        Guarantee.CONFIGURATION,
        (
            VersionSeen(at_ms=1, daemon='vm-1', version=2, digest='d'),
            VersionSeen(at_ms=2, daemon='vm-1', version=1, digest='c'),
        ),
    ),
    (
        Guarantee.CONFIGURATION,
        (DocumentRead(at_ms=1, version=2, patches=(_PATCH, _PATCH)),),
    ),
)


class TestCheckHistory:
    """Checking a history with every checker."""

    @pytest.mark.parametrize(('expected', 'events'), _BROKEN)
    def test_each_guarantee(self, expected, events) -> None:
        """A violation of one guarantee is reported for this guarantee."""
        found = check_history(history(*events), expected_index(), TimeLimits())
        assert {violation.guarantee for violation in found} == {expected}

    def test_valid(self) -> None:
        """A valid history has no violations."""
        complete_history = history(query_asked(), query_ran(), query_answered())
        assert not check_history(
            complete_history, expected_index(), TimeLimits()
        )
