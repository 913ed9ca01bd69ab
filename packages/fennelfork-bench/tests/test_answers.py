"""Answers of a fleet while backend servers and home daemons fail."""

import contextlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench_builders_answers import KEYS, SmallFleet, run_small_fleet

from fennelfork_bench.rig._process import Process

pytestmark = pytest.mark.process


@pytest.fixture(scope='class')
def fleet() -> Iterator[SmallFleet]:
    """Yield a small fleet that the tests of a class share."""
    yield from run_small_fleet()


@pytest.fixture
def two_home_fleet() -> Iterator[SmallFleet]:
    """Yield a fleet in which two daemons schedule the same slots."""
    yield from run_small_fleet(has_two_homes=True)


class TestReplies:
    """Invalid, swapped, truncated and missing responses."""

    @pytest.mark.parametrize(
        'kind',
        ['cross', 'truncate', 'double', 'cut', 'lose_reply', 'mute'],
    )
    def test_bad_response_is_retried(
        self,
        fleet: SmallFleet,
        kind: str,
    ) -> None:
        """The answer is complete although the first response is faulty."""
        rule = {'kind': kind, 'limit': 1, 'call': 'search'}
        fleet.set_faults(rules=[rule])
        for daemon_index in range(4):
            fleet.query_complete(daemon_index=daemon_index)
        injected = [
            event
            for server in fleet.servers
            for event in fleet.fetch_events(server)
            if event['kind'] == 'fault' and event['detail'] == kind
        ]
        assert injected

    def test_unresponsive_connections_are_replaced(
        self, fleet: SmallFleet
    ) -> None:
        """Answers are complete after all connections become unresponsive."""
        fleet.set_faults()
        for daemon_index in range(4):
            fleet.query_complete(daemon_index=daemon_index)
        fleet.set_faults(silence=True)
        for daemon_index in range(4):
            fleet.query_complete(daemon_index=daemon_index)

    def test_frozen_server_is_bypassed(self, fleet: SmallFleet) -> None:
        """Answers are complete while one replica of each shard is frozen."""
        for server in ('s0-0', 's1-0'):
            fleet.control_server(server, 'faults', {'freeze_ms': 3000})
        for daemon_index in range(6):
            fleet.query_complete(daemon_index=daemon_index)


class TestServers:
    """Backend servers that drain or drop the snapshot."""

    def test_draining_server_starts_no_request(self, fleet: SmallFleet) -> None:
        """A draining backend server starts no new request."""
        fleet.control_server('s0-0', 'drain', {'draining': True})
        before = _count_started(fleet, 's0-0')
        for daemon_index in range(10):
            fleet.query_complete(daemon_index=daemon_index)
        assert _count_started(fleet, 's0-0') == before
        fleet.control_server('s0-0', 'drain', {'draining': False})

    def test_dropped_snapshot_is_replaced(self, fleet: SmallFleet) -> None:
        """Answers use snapshot 2 after all servers have dropped snapshot 1."""
        for server in fleet.servers:
            half = KEYS // 2
            lo = half * int(server[1])
            new_snapshot = {
                'version': 2,
                'ranges': [[lo, lo + half]],
                'keep': [],
            }
            fleet.control_server(server, 'snapshot', new_snapshot)
        assert fleet.query_complete()['snapshot'] == 2


class TestHomes:
    """Home daemons that are busy, paused or dead."""

    def test_busy_home_keeps_its_sub_query(self, fleet: SmallFleet) -> None:
        """A slow sub-query is not sent to a second home daemon."""
        fleet.set_faults(rules=[{'kind': 'straggle', 'factor': 700}])
        request_id = fleet.query_complete()['request_id']
        fleet.set_faults()
        homes = {
            (event['sub_query'][:2], event['sub_query'].split('#')[1][:4])
            for server in fleet.servers
            for event in fleet.fetch_events(server)
            if event['request_id'] == request_id
        }
        assert len(homes) == 2

    def test_paused_home_is_bypassed(self, fleet: SmallFleet) -> None:
        """Answers are complete while a home is paused and after it resumes."""
        for paused in fleet.fleet.daemons.values():
            with contextlib.ExitStack() as stack:
                stack.callback(paused.resume)
                paused.pause()
                _query_others(fleet, paused)
            for daemon_index in range(3):
                fleet.query_complete(daemon_index=daemon_index)

    def test_dead_home_is_bypassed(self, fleet: SmallFleet) -> None:
        """The remaining daemons return complete answers."""
        fleet.fleet.daemons['vm-2'].kill()
        for daemon_index in range(6):
            fleet.query_complete(daemon_index=daemon_index)


class TestTwoHomes:
    """Two daemons that both act as home daemon of a shard."""

    def test_overload_is_shed_and_answers_are_complete(
        self, two_home_fleet: SmallFleet
    ) -> None:
        """Servers shed the excess load, and all answers are complete."""
        two_home_fleet.set_faults(rules=[{'kind': 'straggle', 'factor': 20}])
        with ThreadPoolExecutor(max_workers=40) as pool:
            bodies = list(
                pool.map(
                    lambda daemon_index: two_home_fleet.query_complete(
                        daemon_index=daemon_index
                    ),
                    range(80),
                )
            )
        assert len(bodies) == 80
        shed_events = [
            event
            for server in two_home_fleet.servers
            for event in two_home_fleet.fetch_events(server)
            if event['detail'] == 'shed'
        ]
        assert shed_events


def _query_others(fleet: SmallFleet, paused: Process) -> None:
    for daemon_index, process in enumerate(fleet.fleet.running_daemons):
        if process is not paused:
            fleet.query_complete(daemon_index=daemon_index)


def _count_started(fleet: SmallFleet, server: str) -> int:
    return sum(
        event['kind'] == 'started' for event in fleet.fetch_events(server)
    )
