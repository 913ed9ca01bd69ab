"""The checker of the promise that a leaving server gets no new work."""

import pytest
from bench_builders_proof import execute_ran, history, query_ran

from fennelfork_bench._check_base import Limits
from fennelfork_bench._check_drain import check_drain
from fennelfork_bench._history_server import (
    DrainAsked,
    WorkCancelled,
    WorkRefused,
)

_LIMITS = Limits(drain_ms=3000)
_DRAIN = DrainAsked(at_ms=1000, server='raft-a')
_WORK = {
    'at_ms': 4001,
    'server': 'raft-a',
    'request_id': 'req-1',
    'sub_query': 's0',
}


class TestCheckDrain:
    """Work that comes long after the drain is found."""

    @pytest.mark.parametrize(
        'late',
        [
            query_ran(at_ms=4001),
            execute_ran(at_ms=4001),
            WorkRefused(**_WORK, code='draining'),
        ],
    )
    def test_bad(self, late) -> None:
        """New work is caught, run or refused."""
        found = check_drain(history(_DRAIN, late), _LIMITS)
        assert [broken.events for broken in found] == [(_DRAIN, late)]

    def test_near_miss(self) -> None:
        """Early work, other servers and cancels are good."""
        whole = history(
            _DRAIN,
            query_ran(at_ms=500),
            query_ran(at_ms=4000),
            query_ran(at_ms=4001, server='raft-b'),
            WorkCancelled(**_WORK),
        )
        assert not check_drain(whole, _LIMITS)
