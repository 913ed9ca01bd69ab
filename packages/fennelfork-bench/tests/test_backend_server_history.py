"""Tests the conversion of a stand-in's log to events of a history."""

import pytest
from bench_builders_backend import backend, execute_body, search_body

from fennelfork_bench.backend_server._history import server_events
from fennelfork_bench.history._server import (
    ExecuteRan,
    QueryRan,
    WorkReceived,
    WorkRefused,
)


@pytest.mark.process
class TestServerEvents:
    """Events of the log of a stand-in process."""

    def test_reads_runs_and_refusals(self) -> None:
        """Each arrival, run and refusal becomes one event; others none."""
        with backend(name='raft-a') as server:
            server.post('/v1/search', **search_body('r1', lo=5, hi=9))
            server.post('/v1/execute', **execute_body('r2'))
            server.post('/v1/search', **search_body('r3', snapshot=8))
            events = list(server_events(server.read_log_page()))
        arrived = [each for each in events if isinstance(each, WorkReceived)]
        assert [each.request_id for each in arrived] == ['r1', 'r2', 'r3']
        ran, executed, refused = (
            each for each in events if each not in arrived
        )
        assert isinstance(ran, QueryRan)
        assert (ran.server, ran.request_id) == ('raft-a', 'r1')
        assert (ran.snapshot, ran.lo, ran.hi) == (1, 5, 9)
        assert isinstance(executed, ExecuteRan)
        assert (executed.key, executed.action) == (3, 'issue')
        assert isinstance(refused, WorkRefused)
        assert refused.code == 'snapshot_gone'
