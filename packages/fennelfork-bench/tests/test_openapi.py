"""A running daemon against docs/openapi.yaml."""

import json
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from bench_builders_openapi import (
    Answer,
    Asked,
    Operation,
    ask,
    documented,
    metrics_page,
    touch,
)

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig, wait_until
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)

pytestmark = pytest.mark.process

_KEYS = 40
_METRICS = '/metrics'
_PATIENCE_S = 20
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


def _order(fleet: Fleet, **changes: Any) -> dict[str, Any]:
    path = '/v1/entries'
    asked = Asked(address=fleet.callers[0], path=path, template=path)
    issued = ask(asked).tree
    return {
        'request_id': f'x@{issued["ticket_serial"]}',
        'deadline_ms': 10_000,
        'tenant': 'salvare',
        'class': 'counter',
        'key': 7,
        'action': 'issue',
        'ticket': issued['ticket'],
        **changes,
    }


def _execute(fleet: Fleet, body: dict[str, Any]) -> Answer:
    return ask(
        Asked(
            address=fleet.callers[0],
            path='/v1/fronts/raft-search/execute',
            template='/v1/fronts/{front}/execute',
            body=json.dumps(body).encode(),
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


def _dropped(fleet: Fleet, reason: str) -> float:
    """Sum a counter over the daemons."""
    line = f'dropped_replies_total{{front="raft-search",reason="{reason}"}} '
    total = 0.0
    for address in fleet.operators:
        page = ask(Asked(address=address, path=_METRICS, template=_METRICS))
        _, _, rest = page.tree.partition(line)
        total += float(rest.split('\n')[0] or 0)
    return total


def _shards(operator: str) -> list[dict[str, Any]]:
    """Read the shards of the one front, as a daemon sees them."""
    path = '/v1/fronts'
    page = ask(Asked(address=operator, path=path, template=path)).tree
    shards: list[dict[str, Any]] = page['fronts'][0]['shards']
    return shards


def _member_names(fleet: Fleet) -> list[str]:
    members = _page(fleet, '/v1/members').tree['members']
    return [member['name'] for member in members]


class TestPaths:
    """The paths of the file against the routes of a daemon."""

    @pytest.mark.parametrize(
        'operation',
        # The fleet of this module is needed; TestDrain has its own.
        [each for each in documented() if each.path != '/v1/drain'],
        ids=str,
    )
    def test_is_served(self, fleet: Fleet, operation: Operation) -> None:
        """Each documented path and method has a route."""
        faces = {'caller': fleet.callers[0], 'operator': fleet.operators[0]}
        status, detail = touch(faces[operation.tag], operation)
        assert status != 405
        assert 'there is no path' not in detail


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


class TestExecute:
    """Requests that must not run twice."""

    def test_runs_once(self, fleet: Fleet) -> None:
        """Asked twice under one id and ticket, it has one outcome."""
        body = _order(fleet)
        first = _execute(fleet, body)
        assert first.status == 200
        assert _execute(fleet, body).tree['outcome'] == first.tree['outcome']
        template = '/v1/explain/{request_id}'
        path = template.format(request_id=body['request_id'])
        assert _page(fleet, path, template).tree['outcome'] == 'executed'

    @pytest.mark.parametrize(
        'changes',
        [{'key': -1}, {'ticket': ''}, {'action': 7}, {'deadline_ms': 10**9}],
        ids=str,
    )
    def test_bad_member(self, fleet: Fleet, changes: dict[str, Any]) -> None:
        """A wrong member is named; the id may have run before."""
        found = _execute(fleet, _order(fleet, **changes))
        assert found.status == 400
        assert found.tree['verdict'] == 'may_have_run'
        assert next(iter(changes)) in found.tree['detail']

    def test_foreign_ticket(self, fleet: Fleet) -> None:
        """A ticket that nobody issued is refused as documented."""
        body = _order(fleet, ticket='made-up')
        assert _execute(fleet, body).status == 409


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
        """The daemons come to know of each other; the list lags."""
        wait_until(
            lambda: _member_names(fleet) == ['vm-1', 'vm-2'],
            _PATIENCE_S,
            'two members',
        )

    def test_fronts(self, fleet: Fleet) -> None:
        """Each shard has a home, and that daemon sees its servers."""
        _query(fleet)
        operators = dict(zip(fleet.daemons, fleet.operators, strict=True))
        for at, shard in enumerate(_shards(fleet.operators[0])):
            of_home = _shards(operators[shard['home']])[at]
            server = of_home['servers'][0]
            assert (server['state'], server['snapshots']) == ('serving', [1])

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

    def test_metrics_page(self, fleet: Fleet) -> None:
        """Each family of ours is explained on the operators' page."""
        text = metrics_page()
        page = _page(fleet, _METRICS).tree
        families = {
            line.split()[2]
            for line in page.splitlines()
            if line.startswith('# TYPE fennelfork_')
        }
        unexplained = {
            family
            for family in families
            if not family.endswith('_created') and family not in text
        }
        assert not unexplained


class TestDroppedReplies:
    """What servers answer wrongly, in the metrics of the homes."""

    @pytest.mark.parametrize(
        ('kind', 'reason'),
        [('truncate', 'incomplete'), ('double', 'incomplete')],
    )
    def test_is_counted(self, fleet: Fleet, kind: str, reason: str) -> None:
        """A reply that lies is asked for again, and counted with its reason."""
        order = {'rules': [{'kind': kind, 'limit': 1, 'call': 'search'}]}
        before = _dropped(fleet, reason)
        for server in fleet.backends.values():
            http.post(server.ready['address'], '/control/faults', order)
        # Some servers may be ejected for what they did; then it is partial.
        found = _query(fleet, coverage={'mode': 'partial'})
        assert found.status == 200
        assert _dropped(fleet, reason) > before


class TestDrain:
    """Sending callers elsewhere."""

    def test_is_as_documented(self) -> None:
        """The daemon says how far it is, and is no longer ready."""
        spec = attrs.evolve(_spec(), daemons=daemon_specs(1))
        with rig() as own:
            alone = start_fleet(own, spec)
            path = '/v1/drain'
            asked = Asked(
                address=alone.operators[0],
                path=path,
                template=path,
                body=b'{}',
            )
            assert ask(asked).tree['phase'] != 'ended'
            wait_until(
                lambda: _page(alone, '/readyz').status == 503,
                _PATIENCE_S,
                'not ready',
            )


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
        wait_until(
            lambda: _member_names(fleet) == ['vm-1', 'vm-2'],
            _PATIENCE_S,
            'two members',
        )
        status = _page(fleet, '/v1/config/status').tree
        assert [daemon['name'] for daemon in status['daemons']] == [
            'vm-1',
            'vm-2',
        ]
        assert not status['unreached']
