"""Faults of single requests of the stand-in: each is seen on the wire."""

from http.client import HTTPConnection, IncompleteRead

import pytest
import urllib3
from bench_builders_backend import (
    Backend,
    backend,
    execute_body,
    in_thread,
    search_body,
)

pytestmark = pytest.mark.process

_SHORT_S = 0.3


def _search(server: Backend, request_id: str, **fields: object) -> object:
    return server.post('/v1/search', **search_body(request_id, **fields)).body


class TestReplyFaults:
    """Replies that come lost, late, crossed or spoiled."""

    def test_lose_reply_runs_and_closes(self) -> None:
        """The request ran, yet its caller sees a closed connection."""
        with backend() as server:
            server.faults({'kind': 'lose_reply', 'limit': 1})
            with pytest.raises(urllib3.exceptions.ProtocolError):
                server.post('/v1/execute', **execute_body('lost'))
            again = server.post('/v1/execute', **execute_body('again'))
            steps = server.kinds('lost')
        assert steps == ['received', 'started', 'ran', 'fault']
        assert again.body['outcome'] == 'issue-3-2'

    def test_late_reply_comes_after_the_slot_is_free(self) -> None:
        """The server has finished while its reply is still held back."""
        with backend(slots=1) as server:
            server.faults({'kind': 'late', 'delay_ms': 60_000, 'limit': 1})
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post(
                    '/v1/search', timeout=_SHORT_S, **search_body('late')
                )
            found = _search(server, 'next', lo=1, hi=2)
            steps = server.kinds('late')
        assert found['request_id'] == 'next'
        assert steps == ['received', 'started', 'ran', 'fault']

    def test_cross_answers_with_another_request(self) -> None:
        """The reply is a true one, of somebody else."""
        with backend() as server:
            first = _search(server, 'first', lo=1, hi=2)
            server.faults({'kind': 'cross', 'limit': 1})
            crossed = _search(server, 'second', lo=7, hi=9)
            third = _search(server, 'third', lo=7, hi=9)
        assert crossed == first
        assert third['request_id'] == 'third'

    def test_cross_without_another_request(self) -> None:
        """The very first reply can be crossed too."""
        with backend() as server:
            server.faults({'kind': 'cross'})
            crossed = _search(server, 'first')
        assert crossed['request_id'] != 'first'

    def test_truncate_keeps_the_count(self) -> None:
        """There are fewer records than the server counted."""
        with backend() as server:
            server.faults({'kind': 'truncate'})
            found = _search(server, 'r1', lo=0, hi=10)
        assert found['count'] == 10
        assert [item['key'] for item in found['records']] == [0, 1, 2, 3, 4]

    def test_double_counts_the_doubled_record(self) -> None:
        """The count alone does not give a doubled record away."""
        with backend() as server:
            server.faults({'kind': 'double'})
            found = _search(server, 'r1', lo=0, hi=3)
        assert found['count'] == 4
        assert [item['key'] for item in found['records']] == [0, 1, 2, 2]

    def test_cut_closes_in_the_middle_of_the_body(self) -> None:
        """Fewer bytes come than the header announced."""
        with backend() as server:
            server.faults({'kind': 'cut'})
            host, port = server.address.split(':')
            connection = HTTPConnection(host, int(port), timeout=9)
            connection.request('POST', '/v1/search', _TEN_KEYS)
            response = connection.getresponse()
            announced = int(response.headers['Content-Length'])
            with pytest.raises(IncompleteRead) as cut:
                response.read()
            connection.close()
        assert len(cut.value.partial) == announced // 2

    def test_mute_leaves_the_connection_open(self) -> None:
        """One request is never answered, while others are."""
        with backend() as server:
            server.faults({'kind': 'mute', 'limit': 1})
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post(
                    '/v1/search', timeout=_SHORT_S, **search_body('mute')
                )
            found = _search(server, 'next')
            steps = server.kinds('mute')
        assert found['request_id'] == 'next'
        assert 'ran' in steps


class TestRules:
    """Which requests a fault meets."""

    def test_call_and_limit(self) -> None:
        """A rule meets only its call, and only so many times."""
        with backend() as server:
            server.faults({'kind': 'cross', 'call': 'search', 'limit': 1})
            outcome = server.post('/v1/execute', **execute_body('r1'))
            ids = [
                _search(server, name)['request_id'] == name
                for name in ('first', 'second')
            ]
        assert outcome.body['request_id'] == 'r1'
        assert ids == [False, True]

    def test_next_order_switches_off(self) -> None:
        """Faults that an order does not name are over."""
        with backend() as server:
            server.faults({'kind': 'cross'})
            server.faults()
            found = _search(server, 'r1')
        assert found['request_id'] == 'r1'

    def test_unknown_kind_is_refused(self) -> None:
        """A misspelt fault does not pass for a switched-on one."""
        with backend() as server:
            answer = server.order('faults', rules=[{'kind': 'strangle'}])
        assert answer.status == 400


class TestStraggle:
    """Requests that run much longer."""

    def test_a_straggler_runs_into_its_deadline(self) -> None:
        """The next request, which the fault spares, does not."""
        with backend(shape=100) as server:
            server.faults({'kind': 'straggle', 'factor': 1e6, 'limit': 1})
            fields = {'deadline_ms': 5000}
            body = search_body('slow', **fields)
            with in_thread(lambda: server.post('/v1/search', **body)):
                server.wait_for('slow', 'started')
                found = _search(server, 'next', **fields)
                server.post('/v1/cancel', request_id='slow', sub_query='s0')
            steps = server.kinds('slow')
        assert found['request_id'] == 'next'
        assert steps[-1] == 'refused'


_TEN_KEYS = (
    b'{"request_id": "r1", "sub_query": "s0", "snapshot": 1, "lo": 0,'
    b' "hi": 10, "query": {}, "deadline_ms": 5000}'
)
