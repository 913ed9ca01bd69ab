"""Faults and limits of the whole stand-in: each is seen on the wire."""

import json
import socket
from http.client import HTTPConnection

import pytest
import urllib3
from bench_builders_backend import (
    Answer,
    Backend,
    backend,
    in_thread,
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


def _search_on(connection: HTTPConnection, request_id: str) -> Answer:
    connection.request(
        'POST', '/v1/search', json.dumps(search_body(request_id))
    )
    response = connection.getresponse()
    return Answer(status=response.status, body=json.loads(response.read()))


class TestSilence:
    """Connections whose bytes are lost for good."""

    def test_open_connections_go_silent_and_new_ones_work(self) -> None:
        """Requests on an old connection neither arrive nor are answered."""
        with backend() as server:
            old = _connect(server)
            assert _search_on(old, 'before').status == 200
            server.faults(silence=True)
            old.sock.settimeout(_SHORT_S)
            with pytest.raises(TimeoutError):
                _search_on(old, 'lost')
            new = _connect(server)
            assert _search_on(new, 'after').status == 200
            assert not server.kinds('lost')
            old.close()
            new.close()

    def test_silence_swallows_the_reply_in_progress(self) -> None:
        """A request that runs when silence falls ran without an answer."""
        with backend(mean_ms=400, shape=100) as server:
            old = _connect(server)
            old.sock.settimeout(2)
            with in_thread(lambda: _reply_of(old)) as outcome:
                server.wait_for('r1', 'started')
                server.faults(silence=True)
            steps = server.kinds('r1')
        assert outcome == ['timed out']
        assert 'ran' in steps
        assert 'replied' not in steps


def _reply_of(connection: HTTPConnection) -> str:
    try:
        return str(_search_on(connection, 'r1').status)
    except TimeoutError as error:
        return str(error)


class TestFreeze:
    """A server that stands still."""

    def test_nothing_is_answered_until_the_thaw(self) -> None:
        """The frozen server answers no call, not even health."""
        with backend() as server:
            server.faults(freeze_ms=60_000)
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post('/v1/search', timeout=_SHORT_S, **search_body())
            assert not server.kinds('r1')
            server.faults(freeze_ms=0)
            assert server.post('/v1/search', **search_body()).status == 200


class TestConnections:
    """The connection limit and the cost of a new connection."""

    def test_closes_the_connection_above_the_limit(self) -> None:
        """The excess one is closed at once, the others go on."""
        with backend(connections=2) as server:
            first, second = _connect(server), _connect(server)
            assert _search_on(first, 'r1').status == 200
            assert _search_on(second, 'r2').status == 200
            assert _read_all(_connect(server).sock) == b''
            assert _search_on(first, 'r3').status == 200
            first.close()
            wait_until(lambda: server.page()['connections'] == 1)
            third = _connect(server)
            assert _search_on(third, 'r4').status == 200
            page = server.page()
        assert page['connections_peak'] == 2
        assert page['connections_refused'] == 1

    def test_a_new_connection_is_not_read_at_once(self) -> None:
        """Until its cost is paid, no byte of it arrives."""
        with backend(connect_ms=60_000) as server:
            connection = _connect(server)
            connection.sock.settimeout(_SHORT_S)
            with pytest.raises(TimeoutError):
                _search_on(connection, 'r1')
            assert not server.kinds('r1')
            connection.close()

    def test_the_link_delays_requests(self) -> None:
        """A request on a long link does not arrive at once."""
        with backend(link_ms=60_000) as server:
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post('/v1/search', timeout=_SHORT_S, **search_body())
            assert not server.kinds('r1')


def _read_all(connection: socket.socket) -> bytes:
    try:
        return connection.recv(100)
    except ConnectionResetError:
        return b''


class TestHealth:
    """Health and load, true, old and false."""

    def test_tells_snapshots_and_slots(self) -> None:
        """A server without faults tells the truth."""
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

    def test_lies(self) -> None:
        """A draining, idle server can call itself serving and busy."""
        with backend() as server:
            server.order('drain')
            server.faults(health={'state': 'serving', 'busy': 5})
            health, load = server.get('/v1/health'), server.get('/v1/load')
            refused = server.post('/v1/search', **search_body())
        assert (health.body['state'], health.body['busy']) == ('serving', 5)
        assert load.body['busy'] == 5
        assert refused.body['code'] == 'draining'

    def test_lags(self) -> None:
        """Within the lag it tells what was, although calls see what is."""
        with backend(health_lag_ms=60_000) as server:
            server.order('drain')
            health = server.get('/v1/health')
            refused = server.post('/v1/search', **search_body())
        assert health.body['state'] == 'serving'
        assert refused.body['code'] == 'draining'

    def test_cold_start(self) -> None:
        """A server that warms up says so and runs longer."""
        options = {'cold_ms': 60_000, 'cold_factor': 1e6, 'shape': 100}
        with backend(**options) as server:
            health = server.get('/v1/health')
            late = server.post('/v1/search', **search_body(deadline_ms=200))
        assert health.body['state'] == 'cold'
        assert late.body['code'] == 'deadline'


class TestDrain:
    """A server that is about to leave."""

    def test_refuses_new_work_and_finishes_what_runs(self) -> None:
        """No request in progress is cut."""
        with backend(mean_ms=400, shape=100) as server:
            body = search_body('running')
            with in_thread(lambda: server.post('/v1/search', **body)) as ended:
                server.wait_for('running', 'started')
                server.order('drain')
                refused = server.post('/v1/search', **search_body('new'))
        assert ended[0].status == 200
        assert (refused.status, refused.body['code']) == (503, 'draining')
        assert refused.body['verdict'] == 'not_run'

    def test_takes_work_again(self) -> None:
        """A drain can be taken back."""
        with backend() as server:
            server.order('drain')
            server.order('drain', draining=False)
            found = server.post('/v1/search', **search_body())
        assert found.status == 200


class TestSnapshots:
    """Index changes and repartitioning."""

    def test_keeps_only_the_named_versions(self) -> None:
        """A search of a version let go is refused with those held."""
        with backend(hi=500) as server:
            server.order('snapshot', version=2, ranges=[[0, 400]], keep=[])
            gone = server.post('/v1/search', **search_body(hi=400))
            found = server.post('/v1/search', **search_body(hi=400, snapshot=2))
        assert (gone.status, gone.body['code']) == (409, 'snapshot_gone')
        assert gone.body['snapshots'] == [
            {'version': 2, 'ranges': [[0, 400]]},
        ]
        text = found.body['records'][0]['text']
        assert text.endswith('v2')

    def test_ranges_move_with_the_version(self) -> None:
        """The old version keeps its ranges while it is held."""
        with backend(hi=500) as server:
            server.order('snapshot', version=2, ranges=[[0, 100], [600, 700]])
            old = server.post('/v1/search', **search_body(hi=500))
            lost = server.post('/v1/search', **search_body(hi=500, snapshot=2))
            moved = server.post(
                '/v1/search', **search_body(lo=600, hi=700, snapshot=2)
            )
        assert old.body['count'] == 500
        assert lost.body['code'] == 'not_held'
        assert moved.body['count'] == 100

    def test_refuses_an_empty_range(self) -> None:
        """An order that names no keys is a bad request and changes nothing."""
        with backend() as server:
            answer = server.order('snapshot', version=2, ranges=[[5, 5]])
            health = server.get('/v1/health')
        assert answer.status == 400
        assert [held['version'] for held in health.body['snapshots']] == [1]
