"""Whole sessions of a graceful stop, as a golden file."""

import threading

import pytest
from bench_builders_golden import Session, query, session

from fennelfork_bench.history._server import QueryRan
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process, Rig, wait_until
from fennelfork_bench.soak._servers import order, server_events

pytestmark = pytest.mark.process

_PATH = '/v1/fronts/raft-search/query'
_CAP_S = 30


def _started(running: Session) -> bool:
    return any(
        isinstance(event, QueryRan)
        for server in running.fleet.backends.values()
        for event in server_events(server)
    )


def _named(daemon: Process) -> list[str]:
    reply = http.get(daemon.ready['caller'], '/v1/entries')
    return [each['daemon'] for each in reply.body['entries']]


class TestStop:
    """One of two daemons is asked to stop while it answers a query."""

    def test_query_in_progress(self, rig: Rig, snapshot) -> None:
        """It vanishes from the entries, answers the query, and exits."""
        running = session(rig, daemons=2)
        leaving, staying = running.fleet.living
        slow = {'kind': 'straggle', 'factor': 100}
        for server in running.fleet.backends.values():
            order(server, 'faults', {'rules': [slow]})
        running.entries(staying)
        body = query('slow-1', deadline_ms=20_000)
        asking = threading.Thread(
            target=running.call,
            args=('caller', 'caller', _PATH, body),
        )
        asking.start()
        wait_until(lambda: _started(running), _CAP_S, 'the query to run')
        leaving.terminate()
        wait_until(
            lambda: _named(staying) == [staying.name],
            _CAP_S,
            'the daemon to leave the entries',
        )
        asking.join()
        running.entries(staying)
        running.note(f'{leaving.name} exits with {leaving.wait(_CAP_S)}')
        assert running.text == snapshot
