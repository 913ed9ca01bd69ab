"""Validation of a running daemon against `docs/openapi.yaml`."""

import json
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from bench_builders_openapi import (
    ApiRequest,
    ApiResponse,
    Operation,
    call_operation,
    documented_operations,
    metrics_page,
    send_checked,
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
_TIMEOUT_S = 20
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
    """Start two daemons and two shards."""
    with rig() as own:
        yield start_fleet(own, _spec())


def _query(
    fleet: Fleet, front: str = 'raft-search', **changes: Any
) -> ApiResponse:
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
) -> ApiResponse:
    return send_checked(
        ApiRequest(
            address=fleet.callers[0],
            path=f'/v1/fronts/{front}/query',
            template=_QUERY,
            body=body,
            headers=headers,
        ),
    )


def _execute_body(fleet: Fleet, **changes: Any) -> dict[str, Any]:
    path = '/v1/entries'
    request = ApiRequest(address=fleet.callers[0], path=path, template=path)
    entries = send_checked(request).body
    return {
        'request_id': f'x@{entries["ticket_serial"]}',
        'deadline_ms': 10_000,
        'tenant': 'salvare',
        'class': 'counter',
        'key': 7,
        'action': 'issue',
        'ticket': entries['ticket'],
        **changes,
    }


def _execute(fleet: Fleet, body: dict[str, Any]) -> ApiResponse:
    return send_checked(
        ApiRequest(
            address=fleet.callers[0],
            path='/v1/fronts/raft-search/execute',
            template='/v1/fronts/{front}/execute',
            body=json.dumps(body).encode(),
        ),
    )


def _page(fleet: Fleet, path: str, template: str = '') -> ApiResponse:
    return send_checked(
        ApiRequest(
            address=fleet.operators[0],
            path=path,
            template=template or path,
        ),
    )


def _patch(fleet: Fleet, **changes: Any) -> ApiResponse:
    body = {
        'base': 1,
        'patch_id': 'p1',
        'author': 'anna',
        'patch': {'tenants': {'salvare': {'weight': 2}}},
        **changes,
    }
    path = '/v1/config/patch'
    return send_checked(
        ApiRequest(
            address=fleet.operators[0],
            path=path,
            template=path,
            body=json.dumps(body).encode(),
        ),
    )


def _dropped(fleet: Fleet, reason: str) -> float:
    """Return the dropped replies of all daemons with a reason."""
    line = f'dropped_replies_total{{front="raft-search",reason="{reason}"}} '
    total = 0.0
    for address in fleet.operators:
        page = send_checked(
            ApiRequest(address=address, path=_METRICS, template=_METRICS)
        )
        _, _, rest = page.body.partition(line)
        total += float(rest.split('\n')[0] or 0)
    return total


def _shards(operator: str) -> list[dict[str, Any]]:
    """Return the shards of the front in the view of a daemon."""
    path = '/v1/fronts'
    page = send_checked(
        ApiRequest(address=operator, path=path, template=path)
    ).body
    shards: list[dict[str, Any]] = page['fronts'][0]['shards']
    return shards


def _member_names(fleet: Fleet) -> list[str]:
    members = _page(fleet, '/v1/members').body['members']
    return [member['name'] for member in members]


class TestPaths:
    """Paths of the OpenAPI document and routes of a daemon."""

    @pytest.mark.parametrize(
        'operation',
        # TestDrain covers this path with a separate fleet.
        [each for each in documented_operations() if each.path != '/v1/drain'],
        ids=str,
    )
    def test_is_served(self, fleet: Fleet, operation: Operation) -> None:
        """Each documented path and method has a route."""
        addresses = {'caller': fleet.callers[0], 'operator': fleet.operators[0]}
        status, detail = call_operation(addresses[operation.tag], operation)
        assert status != 405
        assert 'there is no path' not in detail


class TestCallerApi:
    """Answers and refusals of the caller API."""

    def test_entries(self, fleet: Fleet) -> None:
        """Entries contain only addresses of the fleet."""
        path = '/v1/entries'
        request = ApiRequest(
            address=fleet.callers[0],
            path=f'{path}?data_centre=dc-1',
            template=path,
        )
        entries = send_checked(request).body['entries']
        assert {entry['address'] for entry in entries} <= set(fleet.callers)

    def test_whole_answer(self, fleet: Fleet) -> None:
        """A whole answer has every record and says so."""
        response = _query(fleet)
        assert response.status == 200
        assert response.body['coverage']['complete']
        assert len(response.body['records']) == _KEYS

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
        """The detail contains the invalid member; the query is not run."""
        response = _query(fleet, **changes)
        assert response.status == 400
        assert response.body['verdict'] == 'not_run'
        assert next(iter(changes)) in response.body['detail']

    @pytest.mark.parametrize('body', [b'{', b'[]', b'7', b'\xff', b''])
    def test_bad_json(self, fleet: Fleet, body: bytes) -> None:
        """A body that is not a JSON object is refused."""
        response = _post(fleet, body)
        assert response.status in {400, 411}
        assert response.body['verdict'] == 'not_run'

    def test_unknown_front(self, fleet: Fleet) -> None:
        """A query of an unknown front is refused and not run."""
        response = _query(fleet, front='no-such')
        assert response.status == 404
        assert response.body['code'] == 'unknown_front'
        assert response.body['verdict'] == 'not_run'
        assert response.body['request_id'] == 'r1'

    def test_oversize_body(self, fleet: Fleet) -> None:
        """A body above the limit is refused; the next request succeeds."""
        response = _post(fleet, b' ' * 100_000)
        assert response.status == 413
        assert _query(fleet).status == 200

    def test_oversize_headers(self, fleet: Fleet) -> None:
        """Headers above the limit are refused."""
        assert _post(fleet, b'{}', padding='x' * 4000).status == 431


class TestExecute:
    """Requests that must not run twice."""

    def test_runs_once(self, fleet: Fleet) -> None:
        """Two requests with one id and ticket have one outcome."""
        body = _execute_body(fleet)
        first = _execute(fleet, body)
        assert first.status == 200
        assert _execute(fleet, body).body['outcome'] == first.body['outcome']
        template = '/v1/explain/{request_id}'
        path = template.format(request_id=body['request_id'])
        assert _page(fleet, path, template).body['outcome'] == 'executed'

    @pytest.mark.parametrize(
        'changes',
        [{'key': -1}, {'ticket': ''}, {'action': 7}, {'deadline_ms': 10**9}],
        ids=str,
    )
    def test_bad_member(self, fleet: Fleet, changes: dict[str, Any]) -> None:
        """The detail contains the invalid member; the id may have run."""
        response = _execute(fleet, _execute_body(fleet, **changes))
        assert response.status == 400
        assert response.body['verdict'] == 'may_have_run'
        assert next(iter(changes)) in response.body['detail']

    def test_foreign_ticket(self, fleet: Fleet) -> None:
        """A ticket that no daemon issued is refused."""
        body = _execute_body(fleet, ticket='made-up')
        assert _execute(fleet, body).status == 409


class TestOperatorApi:
    """Pages of the operator API."""

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
        """Each page is served and matches the schema."""
        assert _page(fleet, path).status == 200

    def test_members(self, fleet: Fleet) -> None:
        """The members of the fleet are listed after a delay."""
        wait_until(
            lambda: _member_names(fleet) == ['vm-1', 'vm-2'],
            _TIMEOUT_S,
            'two members',
        )

    def test_fronts(self, fleet: Fleet) -> None:
        """Each shard has a home daemon that lists the backend servers."""
        _query(fleet)
        operators = dict(zip(fleet.daemons, fleet.operators, strict=True))
        for at, shard in enumerate(_shards(fleet.operators[0])):
            home_shard = _shards(operators[shard['home']])[at]
            server = home_shard['servers'][0]
            assert (server['state'], server['snapshots']) == ('serving', [1])

    def test_explain(self, fleet: Fleet) -> None:
        """The daemon that answered a request explains the request."""
        _query(fleet, request_id='r/2 %41')
        template = '/v1/explain/{request_id}'
        response = _page(fleet, '/v1/explain/r%2F2%20%2541', template)
        assert response.status == 200
        assert response.body['outcome'] == 'complete'
        assert response.body['slowest']['server'].startswith('raft-')
        gone = _page(fleet, '/v1/explain/never', template)
        assert gone.status == 404

    def test_metrics(self, fleet: Fleet) -> None:
        """Unknown tenants and classes are counted under `other`."""
        _query(fleet, tenant='nobody')
        _query(fleet, front='no-such')
        page = _page(fleet, '/metrics').body
        start = 'fennelfork_answers_total{class="other",code="complete",'
        assert f'{start}front="raft-search",tenant="other"' in page
        assert 'no-such' not in page

    def test_metrics_page(self, fleet: Fleet) -> None:
        """Each metric family is documented on the operators' page."""
        text = metrics_page()
        page = _page(fleet, _METRICS).body
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
    """Invalid responses of servers in the metrics of the home daemons."""

    @pytest.mark.parametrize(
        ('kind', 'reason'),
        [('truncate', 'incomplete'), ('double', 'incomplete')],
    )
    def test_is_counted(self, fleet: Fleet, kind: str, reason: str) -> None:
        """An invalid response is retried and counted with a reason."""
        order = {'rules': [{'kind': kind, 'limit': 1, 'call': 'search'}]}
        before = _dropped(fleet, reason)
        for server in fleet.backends.values():
            http.post(server.ready['address'], '/control/faults', order)
        # Ejected servers can make the answer partial.
        response = _query(fleet, coverage={'mode': 'partial'})
        assert response.status == 200
        assert _dropped(fleet, reason) > before


class TestDrain:
    """Draining of a daemon."""

    def test_is_as_documented(self) -> None:
        """The daemon returns the drain phase and is no longer ready."""
        spec = attrs.evolve(_spec(), daemons=daemon_specs(1))
        with rig() as own:
            single_daemon = start_fleet(own, spec)
            path = '/v1/drain'
            request = ApiRequest(
                address=single_daemon.operators[0],
                path=path,
                template=path,
                body=b'{}',
            )
            assert send_checked(request).body['phase'] != 'ended'
            wait_until(
                lambda: _page(single_daemon, '/readyz').status == 503,
                _TIMEOUT_S,
                'not ready',
            )


class TestConfiguration:
    """Patches and the versions that daemons use."""

    def test_patches(self, fleet: Fleet) -> None:
        """Accepted, repeated, refused and invalid patches are documented."""
        first = _patch(fleet)
        assert (first.status, first.body['version']) == (200, 2)
        again = _patch(fleet)
        assert (
            again.body['version'],
            again.body['repeated'],
        ) == (2, True)
        patch = {'tenants': {'salvare': {'weight': 3}}}
        lost = _patch(fleet, patch_id='p2', patch=patch)
        assert (lost.status, lost.body['version']) == (409, 2)
        assert lost.body['since'][0]['id'] == 'p1'
        assert lost.body['changes'][0]['after'] == 3
        patch = {'tenants': {'salvare': {'weigth': 3}}}
        faulty = _patch(fleet, base=2, patch_id='p3', patch=patch)
        assert faulty.status == 400
        assert faulty.body['problems'][0]['path'] == 'tenants.salvare.weigth'

    def test_status(self, fleet: Fleet) -> None:
        """The status contains the version of every daemon."""
        wait_until(
            lambda: _member_names(fleet) == ['vm-1', 'vm-2'],
            _TIMEOUT_S,
            'two members',
        )
        status = _page(fleet, '/v1/config/status').body
        assert [daemon['name'] for daemon in status['daemons']] == [
            'vm-1',
            'vm-2',
        ]
        assert not status['unreached']
