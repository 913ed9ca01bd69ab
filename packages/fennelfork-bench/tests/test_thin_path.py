"""A query over separate processes: caller, daemons, backend servers."""

from typing import Any

import pytest

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, first_patch
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


def _ask(address: str, content: dict[str, Any]) -> http.HttpReply:
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
    """One query through a fleet of three daemons."""

    def test_each_daemon_answers_whole(self) -> None:
        """Every daemon gives each record once; a bad query is named so."""
        with rig() as own:
            fleet = empty_fleet(own, _spec()).start_backends().start_daemons()
            document = {'version': 1, 'patches': [], **first_patch(fleet)}
            fleet.platform.write_document(document)
            await_version(fleet, 1)
            for address in fleet.callers:
                reply = _ask(address, {})
                assert reply.status == 200, reply.body
                keys = [record['key'] for record in reply.body['records']]
                assert keys == list(range(_KEYS))
                assert reply.body['coverage']['complete'] is True
                assert reply.body['config_version'] == 1
            invalid = _ask(fleet.callers[0], {'keys': 'abc'})
            assert (invalid.status, invalid.body['code']) == (
                400,
                'bad_request',
            )
