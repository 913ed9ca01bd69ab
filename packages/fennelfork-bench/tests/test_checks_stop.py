"""Tests the check that a planned stop interrupts no request."""

import pytest
from bench_builders_proof import history, query_answered, query_asked, refused

from fennelfork_bench.checks._stop import check_graceful_stop
from fennelfork_bench.history._caller import ConnectionCut, ConnectRefused
from fennelfork_bench.history._daemon import Exited, Killed, StopAsked

_STOP = StopAsked(at_ms=120, daemon='vm-1')
_EXIT = Exited(at_ms=9000, daemon='vm-1', status=0)
_CUT = ConnectionCut(at_ms=150, attempt='try-1', detail='reset')
_CONNECT_REFUSED = ConnectRefused(at_ms=150, attempt='try-1', detail='refused')
_REQUEST_AFTER_EXPIRY = query_asked(at_ms=5001)


class TestCheckGracefulStop:
    """Detection of stops that interrupt a request."""

    @pytest.mark.parametrize(
        'events',
        [
            (),
            (Exited(at_ms=200, daemon='vm-1', status=1),),
            (query_asked(), _CUT, _EXIT),
            (query_asked(at_ms=130), _CONNECT_REFUSED, _EXIT),
            (query_asked(), refused(code='draining'), _EXIT),
        ],
    )
    def test_violations(self, events) -> None:
        """Interrupted requests and failed or missing exits are detected."""
        assert check_graceful_stop(history(_STOP, *events))

    @pytest.mark.parametrize(
        'events',
        [
            (query_asked(), query_answered(), _EXIT),
            (query_asked(), refused(), _EXIT),
            (query_asked(daemon='vm-2'), _CUT, _EXIT),
            (
                _REQUEST_AFTER_EXPIRY,
                ConnectRefused(at_ms=5002, attempt='try-1', detail=''),
            ),
            (
                query_asked(),
                ConnectionCut(at_ms=110, attempt='try-1', detail=''),
            ),
        ],
    )
    def test_valid(self, events) -> None:
        """Answers, other daemons, expired entries and old cuts are valid."""
        assert not check_graceful_stop(history(_STOP, *events, _EXIT))

    def test_killed(self) -> None:
        """A daemon that is killed during a stop needs no exit."""
        killed = Killed(at_ms=200, daemon='vm-1')
        assert not check_graceful_stop(history(_STOP, killed))
