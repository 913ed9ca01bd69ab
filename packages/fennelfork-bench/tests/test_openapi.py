"""A running daemon against docs/openapi.yaml."""

import json
from collections.abc import Iterator
from typing import Any

import pytest
from bench_builders_openapi import Answer, Asked, ask

from fennelfork_bench._rig_config import start_fleet
from fennelfork_bench._rig_fleet import Fleet
from fennelfork_bench._rig_process import rig
from fennelfork_bench._rig_specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)

pytestmark = pytest.mark.process

_KEYS = 40
_QUERY = '/v1/fronts/{front}/query'
_LIMITS = {
    'limits': {'body_bytes': 2048, 'header_bytes': 2048},
    'timeouts': {'longest_deadline_ms': 20_000},
}


def _spec() -> FleetSpec:
    servers = [
        BackendSpec(name=f'raft-{lo}', lo=lo, hi=lo + 20, keys=_KEYS, mean_ms=1)
        for lo in (0, 20)
    ]
    shards = tuple(
        ShardSpec(name=f's-{server.lo}', servers=(server,))
        for server in servers
    )
    front = FrontSpec(name='raft-search', keys=_KEYS, shards=shards)
    return FleetSpec(fronts=(front,), daemons=daemon_specs(2, tables=_LIMITS))


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Start two daemons over two shards."""
    with rig() as own:
        yield start_fleet(own, _spec())


def _query(fleet: Fleet, front: str = 'raft-search', **changes: Any) -> Answer:
    body = {
        'request_id': 'r1',
        'deadline_ms': 10_000,
        'tenant': 'salvare',
        'class': 'counter',
        **changes,
    }
    return _post(fleet, json.dumps(body).encode(), front)


def _post(
    fleet: Fleet,
    body: bytes,
    front: str = 'raft-search',
    **headers: str,
) -> Answer:
    return ask(
        Asked(
            address=fleet.callers[0],
            path=f'/v1/fronts/{front}/query',
            template=_QUERY,
            body=body,
            headers=headers,
        ),
    )


def _page(fleet: Fleet, path: str, template: str = '') -> Answer:
    return ask(
        Asked(
            address=fleet.operators[0],
            path=path,
            template=template or path,
        ),
    )


def _patch(fleet: Fleet, **changes: Any) -> Answer:
    body = {
        'base': 1,
        'patch_id': 'p1',
        'author': 'anna',
        'patch': {'tenants': {'salvare': {'weight': 2}}},
        **changes,
    }
    path = '/v1/config/patch'
    return ask(
        Asked(
            address=fleet.operators[0],
            path=path,
            template=path,
            body=json.dumps(body).encode(),
        ),
    )


class TestCallerFace:
    """Answers and refusals to callers."""

    def test_entries(self, fleet: Fleet) -> None:
        """Callers get addresses that they may keep for a while."""
        path = '/v1/entries'
        asked = Asked(
            address=fleet.callers[0],
            path=f'{path}?data_centre=dc-1',
            template=path,
        )
        entries = ask(asked).tree['entries']
        assert {entry['address'] for entry in entries} <= set(fleet.callers)

    def test_whole_answer(self, fleet: Fleet) -> None:
        """A whole answer has every record and says so."""
        found = _query(fleet)
        assert found.status == 200
        assert found.tree['coverage']['complete']
        assert len(found.tree['records']) == _KEYS

    @pytest.mark.parametrize(
        'changes',
        [
            {'deadline_ms': 0},
            {'deadline_ms': -5},
            {'deadline_ms': 20_001},
            {'deadline_ms': 10**30},
            {'deadline_ms': '5s'},
            {'deadline_ms': True},
            {'deadline_ms': None},
            {'request_id': ''},
            {'request_id': 7},
            {'tenant': 'x' * 129},
            {'class': None},
            {'query': 'flare'},
            {'coverage': {'mode': 'most'}},
            {'coverage': {'mode': 'partial', 'floor': 1.5}},
            {'unheard_of': 1},
        ],
        ids=str,
    )
    def test_bad_member(self, fleet: Fleet, changes: dict[str, Any]) -> None:
        """A wrong member is named, and nothing ran."""
        found = _query(fleet, **changes)
        assert found.status == 400
        assert found.tree['verdict'] == 'not_run'
        assert next(iter(changes)) in found.tree['detail']

    @pytest.mark.parametrize('body', [b'{', b'[]', b'7', b'\xff', b''])
    def test_bad_json(self, fleet: Fleet, body: bytes) -> None:
        """A body that is no JSON object is refused."""
        found = _post(fleet, body)
        assert found.status in {400, 411}
        assert found.tree['verdict'] == 'not_run'

    def test_unknown_front(self, fleet: Fleet) -> None:
        """A front that is not configured is named; nothing ran."""
        found = _query(fleet, front='no-such')
        assert found.status == 404
        assert found.tree['code'] == 'unknown_front'
        assert found.tree['verdict'] == 'not_run'
        assert found.tree['request_id'] == 'r1'

    def test_oversize_body(self, fleet: Fleet) -> None:
        """A body above the limit is refused, and the next one is served."""
        found = _post(fleet, b' ' * 100_000)
        assert found.status == 413
        assert _query(fleet).status == 200

    def test_oversize_headers(self, fleet: Fleet) -> None:
        """Headers above the limit are refused."""
        assert _post(fleet, b'{}', padding='x' * 4000).status == 431


class TestOperatorFace:
    """Pages for operators."""

    @pytest.mark.parametrize(
        'path',
        [
            '/healthz',
            '/readyz',
            '/v1/config',
            '/v1/config/history',
        ],
    )
    def test_pages(self, fleet: Fleet, path: str) -> None:
        """Each page is there and as documented."""
        assert _page(fleet, path).status == 200

    def test_members(self, fleet: Fleet) -> None:
        """The daemons know of each other."""
        members = _page(fleet, '/v1/members').tree['members']
        assert [member['name'] for member in members] == ['vm-1', 'vm-2']

    def test_fronts(self, fleet: Fleet) -> None:
        """Each shard has a home, which sees its servers."""
        _query(fleet)
        fronts = _page(fleet, '/v1/fronts').tree['fronts']
        homes = {shard['home'] for shard in fronts[0]['shards']}
        assert homes <= {'vm-1', 'vm-2'}

    def test_explain(self, fleet: Fleet) -> None:
        """A request is explained by the daemon that answered it."""
        _query(fleet, request_id='r/2 %41')
        template = '/v1/explain/{request_id}'
        found = _page(fleet, '/v1/explain/r%2F2%20%2541', template)
        assert found.status == 200
        assert found.tree['outcome'] == 'complete'
        assert found.tree['slowest']['server'].startswith('raft-')
        gone = _page(fleet, '/v1/explain/never', template)
        assert gone.status == 404

    def test_metrics(self, fleet: Fleet) -> None:
        """Answers are counted under known names, others under `other`."""
        _query(fleet, tenant='nobody')
        _query(fleet, front='no-such')
        page = _page(fleet, '/metrics').tree
        start = 'fennelfork_answers_total{class="other",code="complete",'
        assert f'{start}front="raft-search",tenant="other"' in page
        assert 'no-such' not in page


class TestConfiguration:
    """Patches and who runs them."""

    def test_patches(self, fleet: Fleet) -> None:
        """Accepted, repeated, lost to a race, faulty: each as documented."""
        first = _patch(fleet)
        assert (first.status, first.tree['version']) == (200, 2)
        again = _patch(fleet)
        assert (again.tree['version'], again.tree['repeated']) == (2, True)
        patch = {'tenants': {'salvare': {'weight': 3}}}
        lost = _patch(fleet, patch_id='p2', patch=patch)
        assert (lost.status, lost.tree['version']) == (409, 2)
        assert lost.tree['since'][0]['id'] == 'p1'
        assert lost.tree['changes'][0]['after'] == 3
        patch = {'tenants': {'salvare': {'weigth': 3}}}
        faulty = _patch(fleet, base=2, patch_id='p3', patch=patch)
        assert faulty.status == 400
        assert faulty.tree['problems'][0]['path'] == 'tenants.salvare.weigth'

    def test_status(self, fleet: Fleet) -> None:
        """Every daemon is asked for its version."""
        status = _page(fleet, '/v1/config/status').tree
        assert [daemon['name'] for daemon in status['daemons']] == [
            'vm-1',
            'vm-2',
        ]
        assert status['unreached'] == []
