"""Tests the effects of server faults and limits of the stand-in."""

import json
import socket
from http.client import HTTPConnection

import pytest
import urllib3
from bench_builders_backend import (
    Backend,
    HttpResponse,
    backend,
    run_in_thread,
    search_body,
    wait_until,
)

pytestmark = pytest.mark.process

_SHORT_S = 0.3


def _connect(server: Backend) -> HTTPConnection:
    host, port = server.address.split(':')
    connection = HTTPConnection(host, int(port), timeout=9)
    connection.connect()
    return connection


def _search_on(connection: HTTPConnection, request_id: str) -> HttpResponse:
    connection.request(
        'POST', '/v1/search', json.dumps(search_body(request_id))
    )
    response = connection.getresponse()
    return HttpResponse(
        status=response.status, body=json.loads(response.read())
    )


class TestSilence:
    """Connections that drop all bytes."""

    def test_open_connections_drop_bytes_and_new_ones_work(self) -> None:
        """Requests on an old connection do not reach the server."""
        with backend() as server:
            old = _connect(server)
            assert _search_on(old, 'before').status == 200
            server.set_faults(silence=True)
            old.sock.settimeout(_SHORT_S)
            with pytest.raises(TimeoutError):
                _search_on(old, 'lost')
            new = _connect(server)
            assert _search_on(new, 'after').status == 200
            assert not server.event_kinds('lost')
            old.close()
            new.close()

    def test_silence_drops_the_reply_in_progress(self) -> None:
        """A request that is running at the fault runs without a response."""
        with backend(mean_ms=400, shape=100) as server:
            old = _connect(server)
            old.sock.settimeout(2)
            with run_in_thread(lambda: _reply_of(old)) as outcome:
                server.wait_for('r1', 'started')
                server.set_faults(silence=True)
            steps = server.event_kinds('r1')
        assert outcome == ['timed out']
        assert 'ran' in steps
        assert 'replied' not in steps


def _reply_of(connection: HTTPConnection) -> str:
    try:
        return str(_search_on(connection, 'r1').status)
    except TimeoutError as error:
        return str(error)


class TestFreeze:
    """A frozen server."""

    def test_no_response_until_the_freeze_is_cleared(self) -> None:
        """A frozen server does not respond until the freeze is cleared."""
        with backend() as server:
            server.set_faults(freeze_ms=60_000)
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post('/v1/search', timeout=_SHORT_S, **search_body())
            assert not server.event_kinds('r1')
            server.set_faults(freeze_ms=0)
            assert server.post('/v1/search', **search_body()).status == 200


class TestConnections:
    """The connection limit and the delays of connections."""

    def test_closes_the_connection_above_the_limit(self) -> None:
        """The excess connection is closed; the others keep working."""
        with backend(connections=2) as server:
            first, second = _connect(server), _connect(server)
            assert _search_on(first, 'r1').status == 200
            assert _search_on(second, 'r2').status == 200
            assert _read_all(_connect(server).sock) == b''
            assert _search_on(first, 'r3').status == 200
            first.close()
            wait_until(lambda: server.read_log_page()['connections'] == 1)
            third = _connect(server)
            assert _search_on(third, 'r4').status == 200
            page = server.read_log_page()
        assert page['connections_peak'] == 2
        assert page['connections_refused'] == 1

    def test_new_connection_is_read_after_a_delay(self) -> None:
        """No byte of a new connection is read before `connect_ms`."""
        with backend(connect_ms=60_000) as server:
            connection = _connect(server)
            connection.sock.settimeout(_SHORT_S)
            with pytest.raises(TimeoutError):
                _search_on(connection, 'r1')
            assert not server.event_kinds('r1')
            connection.close()

    def test_network_delay_of_requests(self) -> None:
        """A request arrives only after the network delay."""
        with backend(link_ms=60_000) as server:
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post('/v1/search', timeout=_SHORT_S, **search_body())
            assert not server.event_kinds('r1')


def _read_all(connection: socket.socket) -> bytes:
    try:
        return connection.recv(100)
    except ConnectionResetError:
        return b''


class TestHealth:
    """Actual, outdated and wrong health and load."""

    def test_reports_snapshots_and_slots(self) -> None:
        """A server without faults reports its actual health."""
        with backend(lo=200, hi=700, slots=3, snapshot=6) as server:
            health = server.get('/v1/health').body
            later = server.get('/v1/health').body
        assert 0 < health.pop('now_ms') < later['now_ms']
        assert health == {
            'state': 'serving',
            'snapshots': [{'version': 6, 'ranges': [[200, 700]]}],
            'slots': 3,
            'busy': 0,
            'capabilities': [],
        }

    def test_wrong_values(self) -> None:
        """A draining, idle server can report that it is serving and busy."""
        with backend() as server:
            server.send_command('drain')
            server.set_faults(health={'state': 'serving', 'busy': 5})
            health, load = server.get('/v1/health'), server.get('/v1/load')
            refused = server.post('/v1/search', **search_body())
        assert (health.body['state'], health.body['busy']) == ('serving', 5)
        assert load.body['busy'] == 5
        assert refused.body['code'] == 'draining'

    def test_outdated_values(self) -> None:
        """Within the lag, health is outdated but requests see the drain."""
        with backend(health_lag_ms=60_000) as server:
            server.send_command('drain')
            health = server.get('/v1/health')
            refused = server.post('/v1/search', **search_body())
        assert health.body['state'] == 'serving'
        assert refused.body['code'] == 'draining'

    def test_cold_start(self) -> None:
        """A server that is warming up reports it and runs longer."""
        options = {'cold_ms': 60_000, 'cold_factor': 1e6, 'shape': 100}
        with backend(**options) as server:
            health = server.get('/v1/health')
            late = server.post('/v1/search', **search_body(deadline_ms=200))
        assert health.body['state'] == 'cold'
        assert late.body['code'] == 'deadline'


class TestDrain:
    """A draining server."""

    def test_refuses_new_requests_and_finishes_running_ones(self) -> None:
        """A drain does not interrupt a running request."""
        with backend(mean_ms=400, shape=100) as server:
            body = search_body('running')
            with run_in_thread(
                lambda: server.post('/v1/search', **body)
            ) as responses:
                server.wait_for('running', 'started')
                server.send_command('drain')
                refused = server.post('/v1/search', **search_body('new'))
        assert responses[0].status == 200
        assert (refused.status, refused.body['code']) == (503, 'draining')
        assert refused.body['verdict'] == 'not_run'

    def test_accepts_requests_after_the_drain_ends(self) -> None:
        """A drain can be reverted."""
        with backend() as server:
            server.send_command('drain')
            server.send_command('drain', draining=False)
            found = server.post('/v1/search', **search_body())
        assert found.status == 200


class TestSnapshots:
    """Index changes and repartitioning."""

    def test_keeps_only_the_listed_versions(self) -> None:
        """A search of a discarded version is refused with the held ones."""
        with backend(hi=500) as server:
            server.send_command(
                'snapshot', version=2, ranges=[[0, 400]], keep=[]
            )
            gone = server.post('/v1/search', **search_body(hi=400))
            found = server.post('/v1/search', **search_body(hi=400, snapshot=2))
        assert (gone.status, gone.body['code']) == (409, 'snapshot_gone')
        assert gone.body['snapshots'] == [
            {'version': 2, 'ranges': [[0, 400]]},
        ]
        text = found.body['records'][0]['text']
        assert text.endswith('v2')

    def test_ranges_move_with_the_version(self) -> None:
        """Each held version keeps its own ranges."""
        with backend(hi=500) as server:
            server.send_command(
                'snapshot', version=2, ranges=[[0, 100], [600, 700]]
            )
            old = server.post('/v1/search', **search_body(hi=500))
            lost = server.post('/v1/search', **search_body(hi=500, snapshot=2))
            moved = server.post(
                '/v1/search', **search_body(lo=600, hi=700, snapshot=2)
            )
        assert old.body['count'] == 500
        assert lost.body['code'] == 'not_held'
        assert moved.body['count'] == 100

    def test_refuses_an_empty_range(self) -> None:
        """A command with an empty range is rejected without any effect."""
        with backend() as server:
            answer = server.send_command('snapshot', version=2, ranges=[[5, 5]])
            health = server.get('/v1/health')
        assert answer.status == 400
        assert [held['version'] for held in health.body['snapshots']] == [1]
