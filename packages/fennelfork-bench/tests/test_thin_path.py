"""Query through daemon and backend server processes."""

from typing import Any

import pytest

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, build_initial_patch
from fennelfork_bench.rig._fleet import empty_fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)

_KEYS = 60


def _spec() -> FleetSpec:
    servers = [
        BackendSpec(name=f'raft-{lo}', lo=lo, hi=lo + 20, keys=_KEYS, mean_ms=1)
        for lo in (0, 20, 40)
    ]
    front = FrontSpec(
        name='raft-search',
        keys=_KEYS,
        shards=tuple(
            ShardSpec(name=f's-{server.lo}', servers=(server,))
            for server in servers
        ),
    )
    return FleetSpec(fronts=(front,), daemons=daemon_specs(3))


def _query(address: str, content: dict[str, Any]) -> http.HttpResponse:
    return http.post(
        address,
        '/v1/fronts/raft-search/query',
        {
            'request_id': f'q-{address}',
            'deadline_ms': 5000,
            'tenant': 'salvare',
            'class': 'counter',
            'query': content,
        },
    )


@pytest.mark.process
class TestThinPath:
    """Queries to a fleet of three daemons."""

    def test_each_daemon_returns_a_complete_answer(self) -> None:
        """Each daemon returns every record, and an invalid query is refused."""
        with rig() as processes:
            fleet = (
                empty_fleet(processes, _spec()).start_backends().start_daemons()
            )
            document = {
                'version': 1,
                'patches': [],
                **build_initial_patch(fleet),
            }
            fleet.platform.write_document(document)
            await_version(fleet, 1)
            for address in fleet.callers:
                reply = _query(address, {})
                assert reply.status == 200, reply.body
                keys = [record['key'] for record in reply.body['records']]
                assert keys == list(range(_KEYS))
                assert reply.body['coverage']['complete'] is True
                assert reply.body['config_version'] == 1
            invalid = _query(fleet.callers[0], {'keys': 'abc'})
            assert (invalid.status, invalid.body['code']) == (
                400,
                'bad_request',
            )
