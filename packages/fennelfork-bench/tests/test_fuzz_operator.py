"""Invalid patches on the operator API."""

import itertools
import json
from collections.abc import Iterator

import pytest
from bench_builders_fuzz import (
    FuzzTarget,
    assert_problem,
    fuzz_settings,
    json_values,
    mutated_bodies,
    nested_json,
    start_target,
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
_DEEP_BODY = {**_BODY, 'patch_id': 'deep-1'}
_serials = itertools.count()
_PATCHED_PATHS = (
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
def daemon_target() -> Iterator[FuzzTarget]:
    """Start one daemon with backend servers."""
    with rig() as own:
        yield start_target(own)


def _config(daemon_target: FuzzTarget) -> dict:
    return http.get(daemon_target.daemon.ready['operator'], '/v1/config').body


def _send(daemon_target: FuzzTarget, body: object) -> int:
    before = _config(daemon_target)
    payload = body if isinstance(body, bytes) else json.dumps(body).encode()
    reply = daemon_target.send(payload, _PATH, interface='operator')
    after = _config(daemon_target)
    if reply.status == 200:
        assert reply.body['version'] <= after['version']
    else:
        assert_problem(reply, None)
        assert after == before
    daemon_target.assert_healthy()
    return reply.status


def _deep_patch() -> bytes:
    body = json.dumps({**_DEEP_BODY, 'patch': 0})
    return body.replace(': 0}', f': {nested_json(900)}}}').encode()


class TestPatches:
    """Only valid documents become active."""

    @fuzz_settings
    @given(body=mutated_bodies(_BODY))
    def test_members(self, daemon_target, body) -> None:
        """A request with invalid members does not change the configuration."""
        _send(daemon_target, body)

    @fuzz_settings
    @given(keys=st.sampled_from(_PATCHED_PATHS), changed=json_values)
    def test_values(self, daemon_target, keys, changed) -> None:
        """Any patch value leaves a readable document."""
        patch = changed
        for name in reversed(keys):
            patch = {name: patch}
        base = _config(daemon_target)['version']
        patch_id = f'v-{next(_serials)}'
        body = {**_BODY, 'base': base, 'patch_id': patch_id, 'patch': patch}
        _send(daemon_target, body)
        assert _config(daemon_target)['version'] >= base

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
    def test_hostile(self, daemon_target, payload) -> None:
        """Deep, long and broken bodies do not change the configuration."""
        assert _send(daemon_target, payload) != 200
