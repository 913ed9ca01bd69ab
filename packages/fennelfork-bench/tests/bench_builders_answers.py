"""Builders of a small fleet and of queries whose answers are checked."""

import itertools
from collections.abc import Iterator
from typing import Any

import attrs

from fennelfork_bench.experiments._fleet import inject_faults
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, first_patch
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
_SERIALS = itertools.count()
_HEDGE = {'policy': 'fixed', 'delay_ms': 60, 'budget': 1}


@attrs.frozen(kw_only=True)
class Small:
    """Three daemons, two shards of two servers, one front."""

    fleet: Fleet

    @property
    def servers(self) -> tuple[str, ...]:
        """The names of all backend servers."""
        return tuple(self.fleet.backends)

    def ask(self, *, at: int = 0, **changes: Any) -> http.HttpReply:
        """Send one query for all records to a daemon."""
        body = {
            'request_id': f'q{next(_SERIALS)}',
            'deadline_ms': 8000,
            'tenant': 'salvare',
            'class': 'counter',
            'query': {},
            **changes,
        }
        callers = self.fleet.callers
        path = '/v1/fronts/raft-search/query'
        return http.post(callers[at % len(callers)], path, body, 20_000)

    def whole(self, *, at: int = 0) -> dict[str, Any]:
        """Ask, and check that the answer is the whole truth."""
        reply = self.ask(at=at)
        assert reply.status == 200, reply
        keys = [record['key'] for record in reply.body['records']]
        assert keys == list(range(KEYS))
        assert reply.body['coverage']['complete'] is True
        return reply.body

    def faults(self, **faults: Any) -> None:
        """Put the same faults in force on every server."""
        for server in self.servers:
            inject_faults(self.fleet, server, **faults)

    def order(self, server: str, name: str, body: dict[str, Any]) -> None:
        """Give one server an order of its control face."""
        reply = http.post(self._control(server), f'/control/{name}', body)
        assert reply.fine, reply

    def events(self, server: str) -> list[dict[str, Any]]:
        """Read the log of one server."""
        page = http.get(self._control(server), '/control/log')
        return page.body['events']

    def _control(self, server: str) -> str:
        process = self.fleet.backends[server]
        return process.ready['control']


def small(*, rival: bool = False) -> Iterator[Small]:
    """Start a small fleet, and end it.

    Args:
        rival: the last daemon takes itself for the home of all shards.
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
    if rival:
        tables = {'routing': {'mode': 'direct'}}
        daemons = (*daemons[:-1], attrs.evolve(daemons[-1], tables=tables))
    spec = FleetSpec(fronts=(front,), daemons=daemons)
    with rig() as own:
        fleet = empty_fleet(own, spec).start_backends().start_daemons()
        document = {'version': 1, 'patches': [], **first_patch(fleet)}
        fleet.platform.write_document(document)
        await_version(fleet, 1)
        built = Small(fleet=fleet)
        for at in range(30):
            built.whole(at=at)
        yield built
