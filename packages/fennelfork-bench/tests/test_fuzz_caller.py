"""Invalid input on the caller API."""

import json
from collections.abc import Iterator

import pytest
from bench_builders_fuzz import (
    FuzzTarget,
    assert_problem,
    fuzz_settings,
    mutated_bodies,
    nested_json,
    start_target,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig

pytestmark = pytest.mark.process

_MAX_GROWTH_KIB = 16_384
_QUERY = {
    'request_id': 'req-1',
    'deadline_ms': 400,
    'tenant': 'salvare',
    'class': 'counter',
    'query': {'keys': [1, 2]},
    'coverage': {'mode': 'whole'},
}
_DEEP_JSON = nested_json(900)
_BODIES = {
    'empty': b'',
    'list': b'[]',
    'not-utf8': b'\xff\xfe',
    'cut': b'{"request_id": "req-1"',
    'brackets': b'[' * 100_000,
    'deep': _DEEP_JSON.encode(),
    'deep-query': json.dumps(_QUERY)
    .replace('{"keys": [1, 2]}', _DEEP_JSON)
    .encode(),
    'surrogate': json.dumps({**_QUERY, 'request_id': '\ud800'}).encode(),
    'line-break': json.dumps({**_QUERY, 'tenant': '\r\nX: 1'}).encode(),
    'digits': b'{"deadline_ms": %b}' % (b'9' * 5000),
    'long': b' ' * 2_000_000,
}


@pytest.fixture(scope='module')
def daemon_target() -> Iterator[FuzzTarget]:
    """Start one daemon with backend servers."""
    with rig() as own:
        yield start_target(own)


class TestQueries:
    """Queries with invalid bodies, paths and methods."""

    @fuzz_settings
    @given(body=mutated_bodies(_QUERY))
    def test_members(self, daemon_target, body) -> None:
        """An invalid member returns a problem, a valid query its own answer."""
        reply = daemon_target.send(json.dumps(body).encode())
        if reply.status == 200:
            assert reply.body['request_id'] == body['request_id']
        else:
            assert_problem(reply, body.get('request_id'))
        daemon_target.assert_healthy()

    @fuzz_settings
    @given(payload=st.binary(max_size=200))
    def test_bytes(self, daemon_target, payload) -> None:
        """A body that is not a JSON object is refused."""
        reply = daemon_target.send(payload)
        assert reply.status in {400, 411}
        assert_problem(reply, None)

    @pytest.mark.parametrize('name', list(_BODIES))
    def test_hostile(self, daemon_target, name) -> None:
        """Deep, long and broken bodies do not disturb the daemon."""
        reply = daemon_target.send(_BODIES[name])
        if reply.status != 200:
            assert_problem(reply, reply.body.get('request_id'))
        daemon_target.assert_healthy()

    @fuzz_settings
    @given(
        method=st.sampled_from(('GET', 'POST', 'PUT', 'DELETE')),
        path=st.text('abc{}/%.?&=;\u00e9 0', max_size=30),
    )
    def test_paths(self, daemon_target, method, path) -> None:
        """Unknown paths and methods return a problem."""
        reply = daemon_target.send(b'{}', f'/v1/{path}', method)
        assert reply.status in {400, 404, 405}
        assert_problem(reply, None)

    def test_no_growth(self, daemon_target) -> None:
        """Many invalid requests do not increase the memory of the daemon."""
        _send_bad(daemon_target, 200)
        before_kib = daemon_target.resident_kib()
        _send_bad(daemon_target, 1000)
        assert daemon_target.resident_kib() - before_kib < _MAX_GROWTH_KIB


class TestExecutions:
    """Execute requests with invalid members."""

    @fuzz_settings
    @given(
        member=st.sampled_from(('request_id', 'action', 'tenant', 'class')),
        text=st.sampled_from(('\ud800', '', 'a' * 500, '\x00')),
    )
    def test_texts(self, daemon_target, member, text) -> None:
        """Every text in a member returns an answer or a problem."""
        caller = daemon_target.daemon.ready['caller']
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
        reply = daemon_target.send(json.dumps(body).encode(), path)
        if reply.status != 200:
            assert_problem(reply, body['request_id'])
        daemon_target.assert_healthy()


def _send_bad(daemon_target: FuzzTarget, count: int) -> None:
    for number in range(count):
        body = {**_QUERY, 'tenant': f't-{number}' * 60}
        reply = daemon_target.send(json.dumps(body).encode())
        assert reply.status == 400
