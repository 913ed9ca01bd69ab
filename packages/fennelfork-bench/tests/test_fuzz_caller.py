"""The caller face stands bad input."""

import json
from collections.abc import Iterator

import pytest
from bench_builders_fuzz import (
    Target,
    assert_problem,
    bodies,
    nested,
    patient,
    target,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig

pytestmark = pytest.mark.process

_MOST_GROWTH_KIB = 16_384
_QUERY = {
    'request_id': 'req-1',
    'deadline_ms': 400,
    'tenant': 'salvare',
    'class': 'counter',
    'query': {'keys': [1, 2]},
    'coverage': {'mode': 'whole'},
}
_DEEP = nested(900)
_SENT = {
    'empty': b'',
    'list': b'[]',
    'not-utf8': b'\xff\xfe',
    'cut': b'{"request_id": "req-1"',
    'brackets': b'[' * 100_000,
    'deep': _DEEP.encode(),
    'deep-query': json.dumps(_QUERY)
    .replace('{"keys": [1, 2]}', _DEEP)
    .encode(),
    'surrogate': json.dumps({**_QUERY, 'request_id': '\ud800'}).encode(),
    'line-break': json.dumps({**_QUERY, 'tenant': '\r\nX: 1'}).encode(),
    'digits': b'{"deadline_ms": %b}' % (b'9' * 5000),
    'long': b' ' * 2_000_000,
}


@pytest.fixture(scope='module')
def caller_face() -> Iterator[Target]:
    """Give one daemon with its servers."""
    with rig() as own:
        yield target(own)


class TestQueries:
    """Queries that are wrong in every way are refused one by one."""

    @patient
    @given(body=bodies(_QUERY))
    def test_members(self, caller_face, body) -> None:
        """A wrong member gets a problem, a right one its own answer."""
        reply = caller_face.send(json.dumps(body).encode())
        if reply.status == 200:
            assert reply.body['request_id'] == body['request_id']
        else:
            assert_problem(reply, body.get('request_id'))
        caller_face.assert_calm()

    @patient
    @given(payload=st.binary(max_size=200))
    def test_bytes(self, caller_face, payload) -> None:
        """Bytes that are no JSON object are refused."""
        reply = caller_face.send(payload)
        assert reply.status in {400, 411}
        assert_problem(reply, None)

    @pytest.mark.parametrize('name', list(_SENT))
    def test_hostile(self, caller_face, name) -> None:
        """Deep, long and broken bodies leave no trace."""
        reply = caller_face.send(_SENT[name])
        if reply.status != 200:
            assert_problem(reply, reply.body.get('request_id'))
        caller_face.assert_calm()

    @patient
    @given(
        method=st.sampled_from(('GET', 'POST', 'PUT', 'DELETE')),
        path=st.text('abc{}/%.?&=;\u00e9 0', max_size=30),
    )
    def test_paths(self, caller_face, method, path) -> None:
        """Unknown paths and methods get a problem."""
        reply = caller_face.send(b'{}', f'/v1/{path}', method)
        assert reply.status in {400, 404, 405}
        assert_problem(reply, None)

    def test_no_growth(self, caller_face) -> None:
        """Many bad requests leave nothing behind."""
        _send_bad(caller_face, 200)
        before_kib = caller_face.resident_kib()
        _send_bad(caller_face, 1000)
        assert caller_face.resident_kib() - before_kib < _MOST_GROWTH_KIB


class TestExecutions:
    """Executions with bad members are refused."""

    @patient
    @given(
        member=st.sampled_from(('request_id', 'action', 'tenant', 'class')),
        text=st.sampled_from(('\ud800', '', 'a' * 500, '\x00')),
    )
    def test_texts(self, caller_face, member, text) -> None:
        """No text leaves the daemon without an answer."""
        caller = caller_face.daemon.ready['caller']
        entry = http.get(caller, '/v1/entries').body
        body = {
            'request_id': f'name@{entry["ticket_serial"]}',
            'deadline_ms': 400,
            'tenant': 'salvare',
            'class': 'counter',
            'key': 1,
            'action': 'issue',
            'ticket': entry['ticket'],
            member: text,
        }
        path = '/v1/fronts/raft-search/execute'
        reply = caller_face.send(json.dumps(body).encode(), path)
        if reply.status != 200:
            assert_problem(reply, body['request_id'])
        caller_face.assert_calm()


def _send_bad(caller_face: Target, count: int) -> None:
    for number in range(count):
        body = {**_QUERY, 'tenant': f't-{number}' * 60}
        reply = caller_face.send(json.dumps(body).encode())
        assert reply.status == 400
