"""Golden file of a graceful stop."""

import threading

import pytest
from bench_builders_golden import Session, query, start_session

from fennelfork_bench.history._server import QueryRan
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process, Rig, wait_until
from fennelfork_bench.soak._servers import send_control_command, server_events

pytestmark = pytest.mark.process

_PATH = '/v1/fronts/raft-search/query'
_TIMEOUT_S = 30


def _query_has_started(transcript: Session) -> bool:
    return any(
        isinstance(event, QueryRan)
        for server in transcript.fleet.backends.values()
        for event in server_events(server)
    )


def _listed_daemons(daemon: Process) -> list[str]:
    reply = http.get(daemon.ready['caller'], '/v1/entries')
    return [each['daemon'] for each in reply.body['entries']]


class TestStop:
    """Stop of one of two daemons during a query."""

    def test_query_in_progress(self, rig: Rig, snapshot) -> None:
        """The daemon leaves the entries, answers the query and exits."""
        transcript = start_session(rig, daemons=2)
        leaving, staying = transcript.fleet.running_daemons
        slow = {'kind': 'straggle', 'factor': 100}
        for server in transcript.fleet.backends.values():
            send_control_command(server, 'faults', {'rules': [slow]})
        transcript.request_entries(staying)
        body = query('slow-1', deadline_ms=20_000)
        asking = threading.Thread(
            target=transcript.call,
            args=('caller', 'caller', _PATH, body),
        )
        asking.start()
        wait_until(
            lambda: _query_has_started(transcript),
            _TIMEOUT_S,
            'the query to run',
        )
        leaving.terminate()
        wait_until(
            lambda: _listed_daemons(staying) == [staying.name],
            _TIMEOUT_S,
            'the daemon to leave the entries',
        )
        asking.join()
        transcript.request_entries(staying)
        transcript.add_line(
            f'{leaving.name} exits with {leaving.wait(_TIMEOUT_S)}'
        )
        assert transcript.text == snapshot
