"""Answers over separate processes while servers and homes fail."""

import contextlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench_builders_answers import KEYS, Small, small

from fennelfork_bench.rig._process import Process

pytestmark = pytest.mark.process


@pytest.fixture(scope='class')
def fleet() -> Iterator[Small]:
    """Give one small fleet to the tests of a class."""
    yield from small()


@pytest.fixture
def rivals() -> Iterator[Small]:
    """Give a fleet in which two daemons hand out the same slots."""
    yield from small(rival=True)


class TestReplies:
    """Replies that lie, cross, break off or never come."""

    @pytest.mark.parametrize(
        'kind',
        ['cross', 'truncate', 'double', 'cut', 'lose_reply', 'mute'],
    )
    def test_a_bad_reply_is_asked_for_again(
        self,
        fleet: Small,
        kind: str,
    ) -> None:
        """The answer is whole although the first replies are bad."""
        rule = {'kind': kind, 'limit': 1, 'call': 'search'}
        fleet.faults(rules=[rule])
        for at in range(4):
            fleet.whole(at=at)
        met = [
            event
            for server in fleet.servers
            for event in fleet.events(server)
            if event['kind'] == 'fault' and event['detail'] == kind
        ]
        assert met

    def test_silent_connections_are_replaced(self, fleet: Small) -> None:
        """All open connections go silent, the answers stay whole."""
        fleet.faults()
        for at in range(4):
            fleet.whole(at=at)
        fleet.faults(silence=True)
        for at in range(4):
            fleet.whole(at=at)

    def test_a_frozen_server_is_gone_around(self, fleet: Small) -> None:
        """One replica of each shard stands still, the other answers."""
        for server in ('s0-0', 's1-0'):
            fleet.order(server, 'faults', {'freeze_ms': 3000})
        for at in range(6):
            fleet.whole(at=at)


class TestServers:
    """Servers that drain, or lose the snapshot."""

    def test_a_draining_server_gets_no_work(self, fleet: Small) -> None:
        """It refuses at most what was on its way, and starts nothing."""
        fleet.order('s0-0', 'drain', {'draining': True})
        before = _started(fleet, 's0-0')
        for at in range(10):
            fleet.whole(at=at)
        assert _started(fleet, 's0-0') == before
        fleet.order('s0-0', 'drain', {'draining': False})

    def test_a_lost_snapshot_leads_to_one_rerun(self, fleet: Small) -> None:
        """All servers move to snapshot 2 and drop 1: answers are of 2."""
        for server in fleet.servers:
            half = KEYS // 2
            lo = half * int(server[1])
            moved = {'version': 2, 'ranges': [[lo, lo + half]], 'keep': []}
            fleet.order(server, 'snapshot', moved)
        assert fleet.whole()['snapshot'] == 2


class TestHomes:
    """Daemons that die, pause, or both think they are home."""

    def test_a_busy_home_is_waited_for(self, fleet: Small) -> None:
        """Work that takes long is not handed to a second home as well."""
        fleet.faults(rules=[{'kind': 'straggle', 'factor': 700}])
        request_id = fleet.whole()['request_id']
        fleet.faults()
        homes = {
            (event['sub_query'][:2], event['sub_query'].split('#')[1][:4])
            for server in fleet.servers
            for event in fleet.events(server)
            if event['request_id'] == request_id
        }
        assert len(homes) == 2

    def test_a_paused_home_is_gone_around(self, fleet: Small) -> None:
        """Answers stay whole while it stands still and after it wakes."""
        for paused in fleet.fleet.daemons.values():
            with contextlib.ExitStack() as stack:
                stack.callback(paused.resume)
                paused.pause()
                _ask_others(fleet, paused)
            for at in range(3):
                fleet.whole(at=at)

    def test_a_dead_home_is_gone_around(self, fleet: Small) -> None:
        """Answers stay whole through the daemons that are left."""
        fleet.fleet.daemons['vm-2'].kill()
        for at in range(6):
            fleet.whole(at=at)


class TestTwoHomes:
    """Two daemons that both think they are home."""

    def test_servers_shed_and_answers_stay_whole(self, rivals: Small) -> None:
        """More than all slots through both: sheds, and no other harm."""
        rivals.faults(rules=[{'kind': 'straggle', 'factor': 20}])
        with ThreadPoolExecutor(max_workers=40) as pool:
            bodies = list(pool.map(lambda at: rivals.whole(at=at), range(80)))
        assert len(bodies) == 80
        sheds = [
            event
            for server in rivals.servers
            for event in rivals.events(server)
            if event['detail'] == 'shed'
        ]
        assert sheds


def _ask_others(fleet: Small, paused: Process) -> None:
    for at, process in enumerate(fleet.fleet.living):
        if process is not paused:
            fleet.whole(at=at)


def _started(fleet: Small, server: str) -> int:
    return sum(event['kind'] == 'started' for event in fleet.events(server))
