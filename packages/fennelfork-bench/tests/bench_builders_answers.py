"""Builders of a small fleet with checked queries."""

import itertools
from collections.abc import Iterator
from typing import Any

import attrs

from fennelfork_bench.experiments._fleet import inject_faults
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, build_initial_patch
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    daemon_specs,
    shard_spec,
)

KEYS = 40
_REQUEST_NUMBERS = itertools.count()
_HEDGE = {'policy': 'fixed', 'delay_ms': 60, 'budget': 1}


@attrs.frozen(kw_only=True)
class SmallFleet:
    """Fleet of three daemons and a front of two shards, two servers each."""

    fleet: Fleet

    @property
    def servers(self) -> tuple[str, ...]:
        """Names of all backend servers."""
        return tuple(self.fleet.backends)

    def query(
        self, *, daemon_index: int = 0, **changes: Any
    ) -> http.HttpResponse:
        """Send a query for all records to one daemon."""
        body = {
            'request_id': f'q{next(_REQUEST_NUMBERS)}',
            'deadline_ms': 8000,
            'tenant': 'salvare',
            'class': 'counter',
            'query': {},
            **changes,
        }
        callers = self.fleet.callers
        path = '/v1/fronts/raft-search/query'
        return http.post(
            callers[daemon_index % len(callers)], path, body, 20_000
        )

    def query_complete(self, *, daemon_index: int = 0) -> dict[str, Any]:
        """Send a query and check that the answer has every record once."""
        reply = self.query(daemon_index=daemon_index)
        assert reply.status == 200, reply
        keys = [record['key'] for record in reply.body['records']]
        assert keys == list(range(KEYS))
        assert reply.body['coverage']['complete'] is True
        return reply.body

    def set_faults(self, **faults: Any) -> None:
        """Set the same faults on every backend server."""
        for server in self.servers:
            inject_faults(self.fleet, server, **faults)

    def control_server(
        self, server: str, name: str, body: dict[str, Any]
    ) -> None:
        """Send a request to the control interface of one backend server."""
        reply = http.post(
            self._control_address(server), f'/control/{name}', body
        )
        assert reply.is_success, reply

    def fetch_events(self, server: str) -> list[dict[str, Any]]:
        """Return the events in the log of one backend server."""
        page = http.get(self._control_address(server), '/control/log')
        return page.body['events']

    def _control_address(self, server: str) -> str:
        process = self.fleet.backends[server]
        return process.ready['control']


def run_small_fleet(*, has_two_homes: bool = False) -> Iterator[SmallFleet]:
    """Start a small fleet and stop it after use.

    Args:
        has_two_homes: whether the last daemon acts as an additional home
            daemon of all shards.
    """
    shards = tuple(
        shard_spec(
            f's{index}',
            2,
            BackendSpec(
                name='template',
                lo=index * KEYS // 2,
                hi=(index + 1) * KEYS // 2,
                keys=KEYS,
                mean_ms=2,
                seed=index,
            ),
            ['dc-1'],
        )
        for index in range(2)
    )
    front = FrontSpec(
        name='raft-search',
        keys=KEYS,
        shards=shards,
        hedge=_HEDGE,
    )
    daemons = daemon_specs(3, data_centres=['dc-1'])
    if has_two_homes:
        tables = {'routing': {'mode': 'direct'}}
        daemons = (*daemons[:-1], attrs.evolve(daemons[-1], tables=tables))
    spec = FleetSpec(fronts=(front,), daemons=daemons)
    with rig() as processes:
        fleet = empty_fleet(processes, spec).start_backends().start_daemons()
        document = {'version': 1, 'patches': [], **build_initial_patch(fleet)}
        fleet.platform.write_document(document)
        await_version(fleet, 1)
        small_fleet = SmallFleet(fleet=fleet)
        for daemon_index in range(30):
            small_fleet.query_complete(daemon_index=daemon_index)
        yield small_fleet
