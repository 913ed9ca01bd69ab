"""Golden files of query sessions."""

import itertools
import time

import pytest
from bench_builders_golden import Session, query, start_session

from fennelfork_bench.history._history import merge_events
from fennelfork_bench.history._server import QueryRan, Work, WorkCancelled
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._servers import send_control_command, server_events

pytestmark = pytest.mark.process

_PATH = '/v1/fronts/raft-search/query'
_MAX_QUERIES = 400
_CANCEL_DELAY_S = 0.3
_serials = itertools.count()


def _drain_shard(transcript: Session, shard: str) -> None:
    for name, server in transcript.fleet.backends.items():
        if name.startswith(shard):
            send_control_command(server, 'drain', {'draining': True})


def _first_attempt_was_cancelled(transcript: Session, request_id: str) -> bool:
    """Return whether shard `low` ran two attempts and cancelled the first."""
    # The cancellation may arrive after the answer.
    time.sleep(_CANCEL_DELAY_S)
    logs = map(server_events, transcript.fleet.backends.values())
    work = [
        event
        for event in merge_events(*logs).of_type(Work)
        if event.request_id == request_id
    ]
    ran = [event.server for event in work if isinstance(event, QueryRan)]
    low = [server for server in ran if server.startswith('low')]
    cancelled = [
        each.server for each in work if isinstance(each, WorkCancelled)
    ]
    return len(low) == 2 and len(ran) == 3 and cancelled == low[:1]


def _query_until(transcript: Session, retries: int, hedges: int) -> str:
    """Send queries until one has the given work; keep only that query."""
    for _ in range(_MAX_QUERIES):
        transcript.clear()
        request_id = f'query-{next(_serials)}'
        body = query(request_id, deadline_ms=5000)
        reply = transcript.call('caller', 'caller', _PATH, body)
        work = reply.body.get('work', {})
        if (work.get('retries'), work.get('hedges')) == (retries, hedges):
            return request_id
    raise AssertionError(f'no query had {retries} retries and {hedges} hedges')


class TestQueries:
    """Messages of one query."""

    def test_whole(self, rig: Rig, snapshot) -> None:
        """A query of both shards returns a complete answer."""
        transcript = start_session(rig)
        transcript.call('caller', 'caller', _PATH, query('whole-1'))
        transcript.record_server_work('whole-1')
        assert transcript.text == snapshot

    def test_partial(self, rig: Rig, snapshot) -> None:
        """A partial answer contains the missing keys and the reason."""
        transcript = start_session(rig)
        _drain_shard(transcript, 'high')
        coverage = {'mode': 'partial', 'floor': 0.25}
        body = query('partial-1', coverage=coverage)
        transcript.call('caller', 'caller', _PATH, body)
        transcript.record_server_work('partial-1')
        assert transcript.text == snapshot

    def test_refusal(self, rig: Rig, snapshot) -> None:
        """A query without servers is refused with the verdict `not_run`."""
        transcript = start_session(rig)
        _drain_shard(transcript, 'low')
        _drain_shard(transcript, 'high')
        transcript.call('caller', 'caller', _PATH, query('refused-1'))
        transcript.record_server_work('refused-1')
        assert transcript.text == snapshot

    def test_lost_reply(self, rig: Rig, snapshot) -> None:
        """A lost response leads to a retry on the other server."""
        transcript = start_session(rig)
        lost = {'kind': 'lose_reply'}
        server = transcript.fleet.backends['low-0']
        send_control_command(server, 'faults', {'rules': [lost]})
        request_id = _query_until(transcript, retries=1, hedges=0)
        transcript.record_server_work(request_id)
        assert transcript.text.replace(request_id, 'lost') == snapshot

    def test_hedge(self, rig: Rig, snapshot) -> None:
        """The hedge of a slow sub-query responds; the first is cancelled."""
        transcript = start_session(rig)
        slow = {'kind': 'straggle', 'factor': 100, 'share': 0.1}
        # Only one server is slow, so that the hedge is not slow as well.
        server = transcript.fleet.backends['low-0']
        send_control_command(server, 'faults', {'rules': [slow]})
        for _ in range(_MAX_QUERIES):
            request_id = _query_until(transcript, retries=0, hedges=1)
            if _first_attempt_was_cancelled(transcript, request_id):
                break
        transcript.record_server_work(request_id)
        assert transcript.text.replace(request_id, 'hedged') == snapshot
