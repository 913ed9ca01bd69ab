"""Tests the effects of request faults of the stand-in over HTTP."""

from http.client import HTTPConnection, IncompleteRead

import pytest
import urllib3
from bench_builders_backend import (
    Backend,
    backend,
    execute_body,
    run_in_thread,
    search_body,
)

pytestmark = pytest.mark.process

_SHORT_S = 0.3


def _search(server: Backend, request_id: str, **fields: object) -> object:
    return server.post('/v1/search', **search_body(request_id, **fields)).body


class TestReplyFaults:
    """Lost, late, mismatched and corrupted replies."""

    def test_lose_reply_runs_and_closes(self) -> None:
        """The request runs, but the client sees a closed connection."""
        with backend() as server:
            server.set_faults({'kind': 'lose_reply', 'limit': 1})
            with pytest.raises(urllib3.exceptions.ProtocolError):
                server.post('/v1/execute', **execute_body('lost'))
            again = server.post('/v1/execute', **execute_body('again'))
            steps = server.event_kinds('lost')
        assert steps == ['received', 'started', 'ran', 'fault']
        assert again.body['outcome'] == 'issue-3-2'

    def test_late_reply_comes_after_the_slot_is_free(self) -> None:
        """The slot is released while the reply is still delayed."""
        with backend(slots=1) as server:
            server.set_faults({'kind': 'late', 'delay_ms': 60_000, 'limit': 1})
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post(
                    '/v1/search', timeout=_SHORT_S, **search_body('late')
                )
            found = _search(server, 'next', lo=1, hi=2)
            steps = server.event_kinds('late')
        assert found['request_id'] == 'next'
        assert steps == ['received', 'started', 'ran', 'fault']

    def test_cross_answers_with_another_request(self) -> None:
        """The reply belongs to another request."""
        with backend() as server:
            first = _search(server, 'first', lo=1, hi=2)
            server.set_faults({'kind': 'cross', 'limit': 1})
            crossed = _search(server, 'second', lo=7, hi=9)
            third = _search(server, 'third', lo=7, hi=9)
        assert crossed == first
        assert third['request_id'] == 'third'

    def test_cross_without_another_request(self) -> None:
        """The first reply of a server can be mismatched too."""
        with backend() as server:
            server.set_faults({'kind': 'cross'})
            crossed = _search(server, 'first')
        assert crossed['request_id'] != 'first'

    def test_truncate_keeps_the_count(self) -> None:
        """The reply contains fewer records than its count."""
        with backend() as server:
            server.set_faults({'kind': 'truncate'})
            found = _search(server, 'r1', lo=0, hi=10)
        assert found['count'] == 10
        assert [item['key'] for item in found['records']] == [0, 1, 2, 3, 4]

    def test_double_counts_the_duplicate_record(self) -> None:
        """The count of the reply includes the duplicate record."""
        with backend() as server:
            server.set_faults({'kind': 'double'})
            found = _search(server, 'r1', lo=0, hi=3)
        assert found['count'] == 4
        assert [item['key'] for item in found['records']] == [0, 1, 2, 2]

    def test_cut_closes_in_the_middle_of_the_body(self) -> None:
        """Fewer bytes arrive than the Content-Length header states."""
        with backend() as server:
            server.set_faults({'kind': 'cut'})
            host, port = server.address.split(':')
            connection = HTTPConnection(host, int(port), timeout=9)
            connection.request('POST', '/v1/search', _TEN_KEYS)
            response = connection.getresponse()
            announced = int(response.headers['Content-Length'])
            with pytest.raises(IncompleteRead) as truncated:
                response.read()
            connection.close()
        assert len(truncated.value.partial) == announced // 2

    def test_mute_leaves_the_connection_open(self) -> None:
        """One request has no response while others are answered."""
        with backend() as server:
            server.set_faults({'kind': 'mute', 'limit': 1})
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                server.post(
                    '/v1/search', timeout=_SHORT_S, **search_body('mute')
                )
            found = _search(server, 'next')
            steps = server.event_kinds('mute')
        assert found['request_id'] == 'next'
        assert 'ran' in steps


class TestRules:
    """Selection of the requests that a fault affects."""

    def test_call_and_limit(self) -> None:
        """A rule affects only its endpoint, up to its limit."""
        with backend() as server:
            server.set_faults({'kind': 'cross', 'call': 'search', 'limit': 1})
            outcome = server.post('/v1/execute', **execute_body('r1'))
            ids = [
                _search(server, name)['request_id'] == name
                for name in ('first', 'second')
            ]
        assert outcome.body['request_id'] == 'r1'
        assert ids == [False, True]

    def test_next_command_clears_faults(self) -> None:
        """Faults that the latest command omits are cleared."""
        with backend() as server:
            server.set_faults({'kind': 'cross'})
            server.set_faults()
            found = _search(server, 'r1')
        assert found['request_id'] == 'r1'

    def test_unknown_kind_is_refused(self) -> None:
        """A misspelt fault kind is rejected."""
        with backend() as server:
            answer = server.send_command('faults', rules=[{'kind': 'strangle'}])
        assert answer.status == 400


class TestStraggle:
    """Requests with a much longer service time."""

    def test_straggler_exceeds_its_deadline(self) -> None:
        """A straggler exceeds its deadline; the next request does not."""
        with backend(shape=100) as server:
            server.set_faults({'kind': 'straggle', 'factor': 1e6, 'limit': 1})
            fields = {'deadline_ms': 5000}
            body = search_body('slow', **fields)
            with run_in_thread(lambda: server.post('/v1/search', **body)):
                server.wait_for('slow', 'started')
                found = _search(server, 'next', **fields)
                server.post('/v1/cancel', request_id='slow', sub_query='s0')
            steps = server.event_kinds('slow')
        assert found['request_id'] == 'next'
        assert steps[-1] == 'refused'


_TEN_KEYS = (
    b'{"request_id": "r1", "sub_query": "s0", "snapshot": 1, "lo": 0,'
    b' "hi": 10, "query": {}, "deadline_ms": 5000}'
)
