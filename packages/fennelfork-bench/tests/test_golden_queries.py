"""Whole sessions of queries, as golden files."""

import itertools
import time

import pytest
from bench_builders_golden import Session, query, session

from fennelfork_bench.history._history import gather
from fennelfork_bench.history._server import QueryRan, Work, WorkCancelled
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._servers import order, server_events

pytestmark = pytest.mark.process

_PATH = '/v1/fronts/raft-search/query'
_MOST_QUERIES = 400
_CANCEL_S = 0.3
_numbers = itertools.count()


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


def _ask_until(running: Session, retries: int, hedges: int) -> str:
    """Ask until one query took just this work, and keep only that."""
    for _ in range(_MOST_QUERIES):
        running.forget()
        request_id = f'query-{next(_numbers)}'
        body = query(request_id, deadline_ms=5000)
        reply = running.call('caller', 'caller', _PATH, body)
        work = reply.body.get('work', {})
        if (work.get('retries'), work.get('hedges')) == (retries, hedges):
            return request_id
    raise AssertionError('no query took this work')


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
        """A reply that is lost is asked for again on the other server."""
        running = session(rig)
        lost = {'kind': 'lose_reply'}
        server = running.fleet.backends['low-0']
        order(server, 'faults', {'rules': [lost]})
        request_id = _ask_until(running, retries=1, hedges=0)
        running.note_servers(request_id)
        assert running.text.replace(request_id, 'lost') == snapshot

    def test_hedge(self, rig: Rig, snapshot) -> None:
        """The second copy of a slow sub-query answers; the first is ended."""
        running = session(rig)
        slow = {'kind': 'straggle', 'factor': 100, 'share': 0.1}
        # Were both slow, the second copy could be late as well and answer.
        server = running.fleet.backends['low-0']
        order(server, 'faults', {'rules': [slow]})
        for _ in range(_MOST_QUERIES):
            request_id = _ask_until(running, retries=0, hedges=1)
            if _first_copy_ended(running, request_id):
                break
        running.note_servers(request_id)
        assert running.text.replace(request_id, 'hedged') == snapshot
