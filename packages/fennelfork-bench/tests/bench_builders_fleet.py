"""Builders of small fleets, and callers that follow the entry contract."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, first_patch
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)

KEYS = 60
CAP_S = 40
_TTL_MS = 1000
_MOST_REFUSALS = 3
_MS = 1000


def a_fleet_spec(daemons: int = 3, mean_ms: float = 1) -> FleetSpec:
    """Build a fleet with one front of three shards and short times."""
    servers = [
        BackendSpec(
            name=f'raft-{lo}',
            lo=lo,
            hi=lo + 20,
            keys=KEYS,
            mean_ms=mean_ms,
            data_centre=f'dc-{lo // 20 + 1}',
        )
        for lo in (0, 20, 40)
    ]
    front = FrontSpec(
        name='raft-search',
        keys=KEYS,
        shards=tuple(
            ShardSpec(name=f's-{server.lo}', servers=(server,))
            for server in servers
        ),
    )
    tables = {'timeouts': {'entry_ttl_ms': _TTL_MS, 'stop_ms': 20_000}}
    return FleetSpec(
        fronts=(front,),
        daemons=daemon_specs(daemons, tables=tables),
    )


def a_running_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start a fleet, put its fronts in force, and await membership."""
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    document = {'version': 1, 'patches': [], **first_patch(fleet)}
    fleet.platform.write_document(document)
    await_version(fleet, 1)
    await_states(fleet, 'alive')
    return fleet


def members(operator: str) -> dict[str, dict]:
    """Read what a daemon believes of each member."""
    body = http.get(operator, '/v1/members').body
    return {row['name']: row for row in body.get('members', ())}


def states(fleet: Fleet, name: str) -> set[str]:
    """Give the states in which the other living daemons hold one."""
    return {
        members(process.ready['operator']).get(name, {}).get('state', '')
        for process in fleet.living
        if process.name != name
    }


def await_states(fleet: Fleet, wanted: str) -> None:
    """Wait until all living daemons hold each other in one state."""
    names = [process.name for process in fleet.living]
    wait_until(
        lambda: all(states(fleet, name) <= {wanted} for name in names),
        CAP_S,
        f'all to be {wanted}',
        lambda: str({name: states(fleet, name) for name in names}),
    )


def await_busy(fleet: Fleet) -> None:
    """Wait until a backend server runs a request."""
    addresses = [each.ready['address'] for each in fleet.backends.values()]
    wait_until(
        lambda: any(
            http.get(address, '/v1/load').body['busy'] for address in addresses
        ),
        CAP_S,
        'a busy server',
    )


def await_leaving(fleet: Fleet, name: str) -> None:
    """Wait until a daemon itself says that it leaves."""
    operator = fleet.daemons[name].ready['operator']
    wait_until(
        lambda: members(operator)[name]['state'] == 'leaving',
        CAP_S,
        f'{name} to leave',
    )


def stop_and_restart(fleet: Fleet, name: str) -> int | None:
    """Stop a daemon gracefully and start it again once it has ended.

    Returns:
        Its exit status.
    """
    process = fleet.daemons[name]
    process.terminate()
    status = process.wait(CAP_S)
    fleet.start_daemons([fleet.daemon_spec(name)])
    await_states(fleet, 'alive')
    return status


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Asks for entries, keeps the answer for its time, and queries.

    Attributes:
        answered: whole answers.
        refusals: answers that the query was not run and may be sent again
            after a time, as when servers are busy; done so, as callers may.
        failures: everything else, a third refusal in a row too, and a
            refused connection of an address from a valid answer.
    """

    addresses: list[str]
    region: str
    data_centre: str
    answered: int = 0
    refusals: int = 0
    failures: list[str] = attrs.field(factory=list)
    used: set[str] = attrs.field(factory=set)
    stopping: bool = False
    _entries: list[str] = attrs.field(factory=list)
    _valid_until_ms: float = 0
    _in_a_row: int = 0

    def run(self) -> None:
        """Query one after the other until told to stop."""
        while not self.stopping:
            self._refresh()
            self._query(self._entries[0])

    def _refresh(self) -> None:
        now_ms = time.monotonic() * _MS
        if now_ms < self._valid_until_ms:
            return
        path = (
            f'/v1/entries?region={self.region}&data_centre={self.data_centre}'
        )
        for address in (*self._entries, *self.addresses):
            reply = http.get(address, path)
            if reply.fine and reply.body['entries']:
                entries = reply.body['entries']
                self._entries = [entry['address'] for entry in entries]
                self._valid_until_ms = now_ms + reply.body['ttl_ms']
                return
        self.failures.append('no entries')

    def _query(self, address: str) -> None:
        self.used.add(address)
        reply = http.post(
            address,
            '/v1/fronts/raft-search/query',
            {
                'request_id': f'q-{id(self)}-{self.answered}',
                'deadline_ms': 5000,
                'tenant': 'salvare',
                'class': 'counter',
                'query': {},
            },
        )
        if reply.fine and len(reply.body['records']) == KEYS:
            self.answered += 1
            self._in_a_row = 0
        elif self._may_ask_again(reply):
            self.refusals += 1
            self._in_a_row += 1
            time.sleep(reply.body['retry_after_ms'] / _MS)
        else:
            self.failures.append(f'{time.monotonic():.2f} {address}: {reply}')

    def _may_ask_again(self, reply: http.HttpReply) -> bool:
        if self._in_a_row + 1 >= _MOST_REFUSALS:
            return False
        refused = reply.body.get('verdict') == 'not_run'
        return refused and reply.body.get('code') == 'shed'


@contextmanager
def callers(fleet: Fleet, count: int) -> Iterator[list[Caller]]:
    """Run callers, spread over the data centres, for a block."""
    started = [
        Caller(
            addresses=list(fleet.callers),
            region=fleet.spec.daemons[number % 3].region,
            data_centre=fleet.spec.daemons[number % 3].data_centre,
        )
        for number in range(count)
    ]
    threads = [threading.Thread(target=each.run) for each in started]
    for thread in threads:
        thread.start()
    try:
        yield started
    finally:
        for caller in started:
            caller.stopping = True
        for ended in threads:
            ended.join(CAP_S)


def failures_of(running: list[Caller]) -> list[str]:
    """Give what went wrong at any caller."""
    return [failure for caller in running for failure in caller.failures]
