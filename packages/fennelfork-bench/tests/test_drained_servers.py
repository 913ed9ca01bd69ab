"""Guard against a drained server that is used too soon, or never again."""

from collections.abc import Iterator
from typing import Final

import pytest
from bench_builders_answers import SmallFleet, run_small_fleet
from bench_builders_fleet import restart_backend
from bench_builders_once import (
    Caller,
    once_spec,
    set_faults,
    start_once_fleet,
)

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Rig, wait_until

pytestmark = pytest.mark.process

_REPLICAS: Final = ('s0-0', 's0-1')
_TIMEOUT_S: Final = 15
_MAX_QUERIES: Final = 60
_KEY: Final = 25
_DAEMONS: Final = 3
_EXECUTIONS: Final = 6


@pytest.fixture
def fleet() -> Iterator[SmallFleet]:
    """Run a small fleet with two replicas of each shard."""
    yield from run_small_fleet()


def _count_events(fleet: SmallFleet, server: str, kind: str) -> int:
    events = fleet.fetch_events(server)
    return sum(event['kind'] == kind for event in events)


def _drain_preferred_replica(fleet: SmallFleet) -> tuple[str, str]:
    """Drain the replica that runs most queries, with false health reports.

    Returns:
        The drained replica, which has refused a query, and the other one.
    """
    other, drained = sorted(
        _REPLICAS, key=lambda name: _count_events(fleet, name, 'ran')
    )
    health = {'state': 'serving', 'busy': 0}
    fleet.control_server(drained, 'faults', {'health': health})
    fleet.control_server(drained, 'drain', {'draining': True})
    for daemon_index in range(_MAX_QUERIES):
        if _count_events(fleet, drained, 'refused'):
            return drained, other
        fleet.query_complete(daemon_index=daemon_index)
    raise AssertionError(f'{drained} refused none of {_MAX_QUERIES} queries')


def _drain_with_false_health(fleet: Fleet, server: str) -> None:
    set_faults(fleet, server, health={'state': 'serving'})
    control = fleet.backends[server].ready['control']
    http.post(control, '/control/drain', {'draining': True})


def _execute(caller: Caller, address: str) -> http.HttpResponse:
    """Execute a new request on the server `reg-20`."""
    request = caller.request(caller.ticket(address), _KEY)
    return caller.send(address, request)


def _execute_on_all_daemons(fleet: SmallFleet) -> None:
    """Execute requests for a record of the first shard on each daemon."""
    caller = Caller()
    path = '/v1/fronts/raft-search/execute'
    for address in fleet.fleet.callers:
        for _ in range(_EXECUTIONS):
            request = caller.request(caller.ticket(address), key=1)
            assert http.post(address, path, request).is_success


class TestFalseHealth:
    """A draining server whose health endpoint reports that it serves."""

    def test_next_process_gets_work(self, fleet: SmallFleet) -> None:
        """The refusal of a process does not exclude the next process."""
        drained, other = _drain_preferred_replica(fleet)
        restart_backend(fleet.fleet, drained)
        fleet.control_server(other, 'drain', {'draining': True})
        wait_until(
            lambda: fleet.query().is_success,
            _TIMEOUT_S,
            f'{drained} to run a search',
        )
        assert _count_events(fleet, drained, 'ran')

    def test_next_process_executes(self, rig: Rig) -> None:
        """A refused execution does not exclude the next process."""
        fleet = start_once_fleet(rig, once_spec())
        caller = Caller()
        here = fleet.callers[0]
        _drain_with_false_health(fleet, 'reg-20')
        refused = _execute(caller, here)
        assert refused.body['code'] == 'draining', refused
        restart_backend(fleet, 'reg-20')
        wait_until(
            lambda: _execute(caller, here).is_success,
            _TIMEOUT_S,
            'reg-20 to execute a request',
        )

    def test_home_tells_other_daemons(self, fleet: SmallFleet) -> None:
        """A refused query keeps the executions of all daemons away."""
        drained, _ = _drain_preferred_replica(fleet)
        for daemon_index in range(_DAEMONS):
            fleet.query_complete(daemon_index=daemon_index)
        _execute_on_all_daemons(fleet)
        events = fleet.fetch_events(drained)
        calls = [event for event in events if event['call'] == 'execute']
        assert not calls
