"""Builders of small fleets, and callers that cache their entries."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, build_initial_patch
from fennelfork_bench.rig._fleet import Fleet, empty_fleet, launch_backend
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)

KEYS = 60
TIMEOUT_S = 40
_TTL_MS = 1000
_MAX_CONSECUTIVE_REFUSALS = 3
_MS_PER_S = 1000


def build_fleet_spec(daemons: int = 3, mean_ms: float = 1) -> FleetSpec:
    """Build the spec of a fleet with one front of three shards."""
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


def start_configured_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start a fleet, activate its fronts and await membership."""
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    document = {'version': 1, 'patches': [], **build_initial_patch(fleet)}
    fleet.platform.write_document(document)
    await_version(fleet, 1)
    await_state(fleet, 'alive')
    return fleet


def restart_backend(fleet: Fleet, server: str) -> None:
    """Kill a backend server; start its next process at the same address."""
    front = fleet.spec.fronts[0]
    spec = next(
        spec
        for shard in front.shards
        for spec in shard.servers
        if spec.name == server
    )
    killed = fleet.backends[server]
    killed.kill()
    started = launch_backend(fleet.rig, spec, killed.ready['address'])
    fleet.backends[server] = started.await_ready()


def fetch_members(operator: str) -> dict[str, dict]:
    """Return the members of the fleet as one daemon reports them."""
    body = http.get(operator, '/v1/members').body
    return {row['name']: row for row in body.get('members', ())}


def fetch_states(fleet: Fleet, name: str) -> set[str]:
    """Return the states of a daemon as the other daemons report them."""
    return {
        fetch_members(process.ready['operator']).get(name, {}).get('state', '')
        for process in fleet.running_daemons
        if process.name != name
    }


def await_state(fleet: Fleet, expected: str) -> None:
    """Wait until all running daemons report each other in one state."""
    names = [process.name for process in fleet.running_daemons]
    wait_until(
        lambda: all(fetch_states(fleet, name) <= {expected} for name in names),
        TIMEOUT_S,
        f'all daemons to be {expected}',
        lambda: str({name: fetch_states(fleet, name) for name in names}),
    )


def await_busy_server(fleet: Fleet) -> None:
    """Wait until a backend server runs a request."""
    addresses = [each.ready['address'] for each in fleet.backends.values()]
    wait_until(
        lambda: any(
            http.get(address, '/v1/load').body['busy'] for address in addresses
        ),
        TIMEOUT_S,
        'a busy server',
    )


def await_leaving_state(fleet: Fleet, name: str) -> None:
    """Wait until a daemon reports itself as leaving."""
    operator = fleet.daemons[name].ready['operator']
    wait_until(
        lambda: fetch_members(operator)[name]['state'] == 'leaving',
        TIMEOUT_S,
        f'{name} to leave',
    )


def stop_and_restart(fleet: Fleet, name: str) -> int | None:
    """Stop a daemon gracefully and restart the daemon after its exit.

    Returns:
        Exit status of the stopped daemon.
    """
    process = fleet.daemons[name]
    process.terminate()
    status = process.wait(TIMEOUT_S)
    fleet.start_daemons([fleet.daemon_spec(name)])
    await_state(fleet, 'alive')
    return status


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Caller that caches its entries until the TTL expires, and queries.

    Attributes:
        addresses: caller addresses for the first request for entries.
        region: region of the caller.
        data_centre: data centre of the caller.
        answered: number of complete answers.
        refusals: number of queries that were shed and then retried.
        failures: all other responses and connection errors, and the third
            consecutive refusal.
        used_addresses: caller addresses that received a query.
        is_stopping: whether `run` returns after the current query.
    """

    addresses: list[str]
    region: str
    data_centre: str
    answered: int = 0
    refusals: int = 0
    failures: list[str] = attrs.field(factory=list)
    used_addresses: set[str] = attrs.field(factory=set)
    is_stopping: bool = False
    _entries: list[str] = attrs.field(factory=list)
    _valid_until_ms: float = 0
    _consecutive_refusals: int = 0

    def run(self) -> None:
        """Send queries one after the other until `is_stopping` is set."""
        while not self.is_stopping:
            self._refresh()
            self._query(self._entries[0])

    def _refresh(self) -> None:
        now_ms = time.monotonic() * _MS_PER_S
        if now_ms < self._valid_until_ms:
            return
        path = (
            f'/v1/entries?region={self.region}&data_centre={self.data_centre}'
        )
        for address in (*self._entries, *self.addresses):
            reply = http.get(address, path)
            if reply.is_success and reply.body['entries']:
                entries = reply.body['entries']
                self._entries = [entry['address'] for entry in entries]
                self._valid_until_ms = now_ms + reply.body['ttl_ms']
                return
        self.failures.append('no entries')

    def _query(self, address: str) -> None:
        self.used_addresses.add(address)
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
        if reply.is_success and len(reply.body['records']) == KEYS:
            self.answered += 1
            self._consecutive_refusals = 0
        elif self._is_retryable(reply):
            self.refusals += 1
            self._consecutive_refusals += 1
            time.sleep(reply.body['retry_after_ms'] / _MS_PER_S)
        else:
            self.failures.append(f'{time.monotonic():.2f} {address}: {reply}')

    def _is_retryable(self, reply: http.HttpResponse) -> bool:
        if self._consecutive_refusals + 1 >= _MAX_CONSECUTIVE_REFUSALS:
            return False
        refused = reply.body.get('verdict') == 'not_run'
        return refused and reply.body.get('code') == 'shed'


@contextmanager
def run_callers(fleet: Fleet, count: int) -> Iterator[list[Caller]]:
    """Run callers in all data centres for the duration of a block."""
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
            caller.is_stopping = True
        for ended in threads:
            ended.join(TIMEOUT_S)


def list_failures(running: list[Caller]) -> list[str]:
    """Return the failures of all callers."""
    return [failure for caller in running for failure in caller.failures]
