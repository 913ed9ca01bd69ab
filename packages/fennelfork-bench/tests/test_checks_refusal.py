"""Tests the check that requests refused as not run did not run."""

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
_CONNECT_REFUSED = ConnectRefused(at_ms=150, attempt='try-1', detail='refused')
_RETRY_REFUSED = refused(attempt='try-2', at_ms=210)


class TestCheckRefusal:
    """Detection of refusals that a run contradicts."""

    @pytest.mark.parametrize(
        'events',
        [
            (query_asked(), query_ran(), refused()),
            (execute_asked(), execute_ran(), refused()),
            (execute_asked(), refused(), execute_ran(at_ms=900)),
            (
                execute_asked(),
                _CONNECT_REFUSED,
                _RETRY,
                _RETRY_REFUSED,
                execute_ran(),
            ),
        ],
    )
    def test_violations(self, events) -> None:
        """A run before or after the refusal is detected."""
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
    def test_valid(self, events) -> None:
        """Uncertain verdicts, other requests and other attempts are valid."""
        assert not check_refusal(history(*events))
