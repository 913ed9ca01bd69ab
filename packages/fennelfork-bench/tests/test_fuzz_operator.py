"""The operator face stands bad patches."""

import itertools
import json
from collections.abc import Iterator

import pytest
from bench_builders_fuzz import (
    Target,
    assert_problem,
    bodies,
    json_values,
    nested,
    patient,
    target,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig

pytestmark = pytest.mark.process

_PATH = '/v1/config/patch'
_BODY = {
    'base': 1,
    'patch_id': 'p-1',
    'author': 'op',
    'patch': {'tenants': {'salvare': {'weight': 2}}},
}
_FRESH = {**_BODY, 'patch_id': 'deep-1'}
_numbers = itertools.count()
_WHERE = (
    ('fronts',),
    ('fronts', 'raft-search'),
    ('fronts', 'raft-search', 'keys'),
    ('fronts', 'raft-search', 'hedge'),
    ('fronts', 'raft-search', 'shards', 'low'),
    ('tenants', 'salvare', 'weight'),
    ('classes',),
    ('version',),
    ('patches',),
    ('unknown',),
)


@pytest.fixture(scope='module')
def face() -> Iterator[Target]:
    """Give one daemon with its servers."""
    with rig() as own:
        yield target(own)


def _config(face: Target) -> dict:
    return http.get(face.daemon.ready['operator'], '/v1/config').body


def _send(face: Target, body: object) -> int:
    before = _config(face)
    payload = body if isinstance(body, bytes) else json.dumps(body).encode()
    reply = face.send(payload, _PATH, face='operator')
    after = _config(face)
    if reply.status == 200:
        assert reply.body['version'] <= after['version']
    else:
        assert_problem(reply, None)
        assert after == before
    face.assert_calm()
    return reply.status


def _deep_patch() -> bytes:
    body = json.dumps({**_FRESH, 'patch': 0})
    return body.replace(': 0}', f': {nested(900)}}}').encode()


class TestPatches:
    """Only what is a good document comes into force."""

    @patient
    @given(body=bodies(_BODY))
    def test_members(self, face, body) -> None:
        """A request with wrong members changes nothing."""
        _send(face, body)

    @patient
    @given(where=st.sampled_from(_WHERE), changed=json_values)
    def test_values(self, face, where, changed) -> None:
        """A bad value is refused; a good one leaves a readable document."""
        patch = changed
        for name in reversed(where):
            patch = {name: patch}
        base = _config(face)['version']
        identity = f'v-{next(_numbers)}'
        body = {**_BODY, 'base': base, 'patch_id': identity, 'patch': patch}
        _send(face, body)
        assert _config(face)['version'] >= base

    @pytest.mark.parametrize(
        'payload',
        [
            b'',
            b'[]',
            b'\xff',
            b'[' * 100_000,
            _deep_patch(),
            json.dumps({**_BODY, 'author': 'a\r\nX: 1'}).encode(),
            json.dumps({**_BODY, 'base': 10**400}).encode(),
        ],
        ids=['empty', 'list', 'bytes', 'brackets', 'deep', 'lines', 'huge'],
    )
    def test_hostile(self, face, payload) -> None:
        """Deep, long and broken bodies change nothing."""
        assert _send(face, payload) != 200
