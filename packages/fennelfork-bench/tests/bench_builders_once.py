"""Small fleet, callers and checks of at-most-once execution."""

import itertools
from collections import Counter
from typing import Any, Final

import attrs

from fennelfork.once import bind_request_id
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, build_initial_patch
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)

KEYS: Final = 40
FRONT: Final = 'registry'
_PATH: Final = f'/v1/fronts/{FRONT}/execute'
_TIMEOUT_MS: Final = 30_000
_DISCOVERY_TIMEOUT_S: Final = 30


def once_spec(
    daemons: int = 2,
    ttl_ms: int = 30_000,
    connect_ms: int = 500,
) -> FleetSpec:
    """Build a fleet with two shards of one backend server each."""
    servers = [
        BackendSpec(name=f'reg-{lo}', lo=lo, hi=lo + 20, keys=KEYS, mean_ms=2)
        for lo in (0, 20)
    ]
    front = FrontSpec(
        name=FRONT,
        keys=KEYS,
        shards=tuple(
            ShardSpec(name=f's-{server.lo}', servers=(server,))
            for server in servers
        ),
    )
    timeouts = {'entry_ttl_ms': ttl_ms, 'connect_ms': connect_ms}
    return FleetSpec(
        fronts=(front,),
        daemons=daemon_specs(daemons, tables={'timeouts': timeouts}),
    )


def start_once_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start a fleet and wait until all daemons know each other."""
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    document = {'version': 1, 'patches': [], **build_initial_patch(fleet)}
    fleet.platform.write_document(document)
    await_version(fleet, 1)
    wait_until(
        lambda: _entries_are_complete(fleet),
        _DISCOVERY_TIMEOUT_S,
        'daemons to know all',
    )
    return fleet


def _entries_are_complete(fleet: Fleet) -> bool:
    """Return whether the entries of each daemon contain all daemons."""
    entries = [http.get(each, '/v1/entries').body for each in fleet.callers]
    wanted = len(fleet.callers)
    return all(len(body.get('entries', ())) == wanted for body in entries)


@attrs.define(kw_only=True)
class Caller:
    """Caller that records the answers to each request id."""

    answers: list[tuple[str, http.HttpResponse]] = attrs.field(factory=list)
    _serials: Any = attrs.field(factory=lambda: itertools.count(1))

    def ticket(self, address: str) -> str:
        """Request a ticket from a daemon."""
        return str(http.get(address, '/v1/entries').body['ticket'])

    def request(self, ticket: str, key: int = 7) -> dict[str, Any]:
        """Build a new request for a ticket."""
        name = f'cert-{next(self._serials)}'
        return {
            'request_id': bind_request_id(name, ticket),
            'ticket': ticket,
            'deadline_ms': 5000,
            'tenant': 'salvare',
            'class': 'counter',
            'key': key,
            'action': 'issue',
        }

    def send(
        self,
        address: str,
        request: dict[str, Any],
        timeout_ms: float = _TIMEOUT_MS,
    ) -> http.HttpResponse:
        """Send a request and record the answer."""
        reply = http.post(address, _PATH, request, timeout_ms)
        self.answers.append((request['request_id'], reply))
        return reply

    @property
    def refused(self) -> set[str]:
        """Ids of the requests refused with the verdict `not_run`."""
        return {
            request_id
            for request_id, reply in self.answers
            if reply.body.get('verdict') == 'not_run'
        }


def set_faults(fleet: Fleet, server: str, **settings: Any) -> None:
    """Inject faults into a backend server; no settings clear all faults."""
    reply = http.post(_address(fleet, server), '/control/faults', settings)
    assert reply.is_success, reply


def count_events(fleet: Fleet, kind: str) -> Counter[str]:
    """Count execute events in the logs of all servers by request id."""
    counts: Counter[str] = Counter()
    for name in fleet.backends:
        page = http.get(_address(fleet, name), '/control/log').body
        assert page['dropped'] == 0
        counts.update(
            event['request_id']
            for event in page['events']
            if event['call'] == 'execute' and event['kind'] == kind
        )
    return counts


def assert_at_most_once(fleet: Fleet, *callers: Caller) -> Counter[str]:
    """Check from the servers' logs that requests ran at most once.

    Returns:
        Number of starts of each request id.
    """
    started = count_events(fleet, 'started')
    assert max(started.values(), default=0) <= 1
    for caller in callers:
        assert not caller.refused & started.keys()
    return started


def _address(fleet: Fleet, server: str) -> str:
    return fleet.backends[server].ready['control']
