"""The checker of the promise that a refusal is true."""

import pytest
from bench_builders_proof import (
    execute_asked,
    execute_ran,
    history,
    query_asked,
    query_ran,
    refused,
)

from fennelfork import Verdict
from fennelfork_bench.checks._refusal import check_refusal
from fennelfork_bench.history._caller import ConnectionCut, ConnectRefused

_RETRY = execute_asked(attempt='try-2', at_ms=200)
_CUT = ConnectionCut(at_ms=150, attempt='try-1', detail='reset')
_UNSENT = ConnectRefused(at_ms=150, attempt='try-1', detail='refused')
_RETRY_REFUSED = refused(attempt='try-2', at_ms=210)


class TestCheckRefusal:
    """Refusals that a run contradicts are found."""

    @pytest.mark.parametrize(
        'events',
        [
            (query_asked(), query_ran(), refused()),
            (execute_asked(), execute_ran(), refused()),
            (execute_asked(), refused(), execute_ran(at_ms=900)),
            (execute_asked(), _UNSENT, _RETRY, _RETRY_REFUSED, execute_ran()),
        ],
    )
    def test_bad(self, events) -> None:
        """A run before or after the refusal is caught."""
        assert check_refusal(history(*events))

    @pytest.mark.parametrize(
        'events',
        [
            (execute_asked(), refused()),
            (execute_asked(), execute_ran(request_id='req-2'), refused()),
            (
                execute_asked(),
                execute_ran(),
                refused(verdict=Verdict.MAY_HAVE_RUN),
            ),
            (execute_asked(), _CUT, _RETRY, _RETRY_REFUSED, execute_ran()),
        ],
    )
    def test_near_miss(self, events) -> None:
        """An honest doubt, another request, or another try are good."""
        assert not check_refusal(history(*events))
