"""The checker of the promise of the graceful stop."""

import pytest
from bench_builders_proof import history, query_answered, query_asked, refused

from fennelfork_bench.checks._stop import check_graceful_stop
from fennelfork_bench.history._caller import ConnectionCut, ConnectRefused
from fennelfork_bench.history._daemon import Exited, Killed, StopAsked

_STOP = StopAsked(at_ms=120, daemon='vm-1')
_EXIT = Exited(at_ms=9000, daemon='vm-1', status=0)
_CUT = ConnectionCut(at_ms=150, attempt='try-1', detail='reset')
_UNSENT = ConnectRefused(at_ms=150, attempt='try-1', detail='refused')
_LATE = query_asked(at_ms=5001)


class TestCheckGracefulStop:
    """Stops that cut a request are found."""

    @pytest.mark.parametrize(
        'events',
        [
            (),
            (Exited(at_ms=200, daemon='vm-1', status=1),),
            (query_asked(), _CUT, _EXIT),
            (query_asked(at_ms=130), _UNSENT, _EXIT),
            (query_asked(), refused(code='draining'), _EXIT),
        ],
    )
    def test_bad(self, events) -> None:
        """Cuts, early closing, bad exits and no exit are caught."""
        assert check_graceful_stop(history(_STOP, *events))

    @pytest.mark.parametrize(
        'events',
        [
            (query_asked(), query_answered(), _EXIT),
            (query_asked(), refused(), _EXIT),
            (query_asked(daemon='vm-2'), _CUT, _EXIT),
            (_LATE, ConnectRefused(at_ms=5002, attempt='try-1', detail='')),
            (
                query_asked(),
                ConnectionCut(at_ms=110, attempt='try-1', detail=''),
            ),
        ],
    )
    def test_near_miss(self, events) -> None:
        """Answers, other daemons, stale entries and old cuts are good."""
        assert not check_graceful_stop(history(_STOP, *events, _EXIT))

    def test_killed(self) -> None:
        """A daemon that was killed while it stopped owes no exit."""
        killed = Killed(at_ms=200, daemon='vm-1')
        assert not check_graceful_stop(history(_STOP, killed))
