"""Whole sessions of queries, as golden files."""

import time

import pytest
from bench_builders_golden import Session, query, session

from fennelfork_bench._exp_soak_servers import order, server_events
from fennelfork_bench._history import gather
from fennelfork_bench._history_server import QueryRan, Work, WorkCancelled
from fennelfork_bench._rig_process import Rig

pytestmark = pytest.mark.process

_PATH = '/v1/fronts/raft-search/query'
_MOST_QUERIES = 400
_CANCEL_S = 0.3


def _drain_shard(running: Session, shard: str) -> None:
    for name, server in running.fleet.backends.items():
        if name.startswith(shard):
            order(server, 'drain', {'draining': True})


def _first_copy_ended(running: Session, request_id: str) -> bool:
    """Tell whether shard `low` ran two copies and ended the first."""
    # The cancel may still be on its way when the answer is there.
    time.sleep(_CANCEL_S)
    logs = map(server_events, running.fleet.backends.values())
    work = [
        event
        for event in gather(*logs).of(Work)
        if event.request_id == request_id
    ]
    ran = [event.server for event in work if isinstance(event, QueryRan)]
    low = [server for server in ran if server.startswith('low')]
    ended = [each.server for each in work if isinstance(each, WorkCancelled)]
    return len(low) == 2 and len(ran) == 3 and ended == low[:1]


class TestQueries:
    """What crosses the interfaces for one query."""

    def test_whole(self, rig: Rig, snapshot) -> None:
        """A query of both shards is answered whole."""
        running = session(rig)
        running.call('caller', 'caller', _PATH, query('whole-1'))
        running.note_servers('whole-1')
        assert running.text == snapshot

    def test_partial(self, rig: Rig, snapshot) -> None:
        """A caller that takes a part is told what is missing and why."""
        running = session(rig)
        _drain_shard(running, 'high')
        coverage = {'mode': 'partial', 'floor': 0.25}
        body = query('partial-1', coverage=coverage)
        running.call('caller', 'caller', _PATH, body)
        running.note_servers('partial-1')
        assert running.text == snapshot

    def test_refusal(self, rig: Rig, snapshot) -> None:
        """Nothing ran, and the refusal says so."""
        running = session(rig)
        _drain_shard(running, 'low')
        _drain_shard(running, 'high')
        running.call('caller', 'caller', _PATH, query('refused-1'))
        running.note_servers('refused-1')
        assert running.text == snapshot

    def test_lost_reply(self, rig: Rig, snapshot) -> None:
        """A reply that is lost once is asked for again."""
        running = session(rig)
        lost = {'kind': 'lose_reply', 'limit': 1}
        for name in ('low-0', 'low-1'):
            server = running.fleet.backends[name]
            order(server, 'faults', {'rules': [lost]})
        running.call('caller', 'caller', _PATH, query('lost-1'))
        running.note_servers('lost-1')
        assert running.text == snapshot

    def test_hedge(self, rig: Rig, snapshot) -> None:
        """The second copy of a slow sub-query answers; the first is ended."""
        running = session(rig)
        slow = {'kind': 'straggle', 'factor': 100, 'share': 0.1}
        for name in ('low-0', 'low-1'):
            server = running.fleet.backends[name]
            order(server, 'faults', {'rules': [slow]})
        for number in range(_MOST_QUERIES):
            running.forget()
            body = query(f'hedged-{number}', deadline_ms=5000)
            reply = running.call('caller', 'caller', _PATH, body)
            request_id = body['request_id']
            work = reply.body['work']
            hedged = work['hedges'] == 1 and not work['retries']
            if hedged and _first_copy_ended(running, request_id):
                break
        running.note_servers(request_id)
        assert running.text.replace(request_id, 'hedged') == snapshot
