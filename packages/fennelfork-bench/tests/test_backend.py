"""Tests the endpoints of the stand-in backend server over HTTP."""

import pytest
from bench_builders_backend import (
    backend,
    backends,
    execute_body,
    run_in_thread,
    search_body,
)

from fennelfork_bench.backend_server._records import record_at

pytestmark = pytest.mark.process


class TestManyServers:
    """Several stand-ins in one process."""

    def test_each_has_its_own_state(self) -> None:
        """Draining one server does not affect others in the process."""
        wanted = [
            {'name': f'raft-{lo}', 'lo': lo, 'hi': lo + 10}
            for lo in (0, 10, 20)
        ]
        with backends(*wanted) as servers:
            servers['raft-10'].send_command('drain')
            found = {
                name: server.get('/v1/health').body
                for name, server in servers.items()
            }
        states = {name: health['state'] for name, health in found.items()}
        held = found['raft-20']['snapshots'][0]
        assert states == {
            'raft-0': 'serving',
            'raft-10': 'draining',
            'raft-20': 'serving',
        }
        assert held['ranges'] == [[20, 30]]


class TestSearch:
    """Searches of a range at a snapshot."""

    def test_answers_with_the_records_of_seed_key_and_snapshot(self) -> None:
        """The records follow from front seed, key and snapshot."""
        with backend(front_seed=7) as server:
            found = server.post('/v1/search', **search_body(lo=3, hi=6))
        records = [record_at(7, key, 1) for key in (3, 4, 5)]
        assert found.body == {
            'request_id': 'r1',
            'sub_query': 's0',
            'snapshot': 1,
            'lo': 3,
            'hi': 6,
            'count': 3,
            'records': [
                {'key': record.key, 'text': record.text} for record in records
            ],
        }

    @pytest.mark.parametrize(
        ('query', 'expected'),
        [
            ({'keys': [9, 2, 5000]}, [2, 9]),
            ({'text': '000012'}, [12]),
            ({'keys': [1], 'text': 'no such text'}, []),
        ],
    )
    def test_selects_by_keys_and_text(
        self, query: dict[str, object], expected: list[int]
    ) -> None:
        """Only matching records of the range are returned, sorted by key."""
        with backend() as server:
            found = server.post('/v1/search', **search_body(query=query))
        assert [item['key'] for item in found.body['records']] == expected

    def test_logs_each_step(self) -> None:
        """The log contains each step of a request."""
        with backend() as server:
            server.post('/v1/search', **search_body('r9'))
            steps = server.event_kinds('r9')
            started = server.read_events()[1]
        assert steps == ['received', 'started', 'ran', 'replied']
        part = [started[name] for name in ('snapshot', 'lo', 'hi')]
        assert part == [1, 0, 1000]

    @pytest.mark.parametrize(
        ('fields', 'status', 'code'),
        [
            ({'snapshot': 4}, 409, 'snapshot_gone'),
            ({'lo': 900, 'hi': 1001}, 409, 'not_held'),
            ({'deadline_ms': 0}, 504, 'deadline'),
        ],
    )
    def test_refusal_before_the_run(
        self, fields: dict[str, int], status: int, code: str
    ) -> None:
        """A request refused as not run has no start event in the log."""
        with backend() as server:
            refused = server.post('/v1/search', **search_body(**fields))
            steps = server.event_kinds('r1')
        assert refused.status == status
        assert refused.body['code'] == code
        assert refused.body['verdict'] == 'not_run'
        assert refused.body['sub_query'] == 's0'
        assert steps == ['received', 'refused']

    def test_invalid_body(self) -> None:
        """A body without a required field is a bad request."""
        with backend() as server:
            refused = server.post('/v1/search', request_id='r1')
        assert (refused.status, refused.body['code']) == (400, 'bad_request')


class TestMultiSearch:
    """Several searches in one HTTP request."""

    def test_runs_each_independently(self) -> None:
        """A refusal of one search does not affect the others."""
        searches = [
            search_body('r1', lo=1, hi=3),
            search_body('r2', snapshot=9),
            search_body('r3', lo=3, hi=4),
        ]
        with backend(multi_search=True) as server:
            health = server.get('/v1/health')
            found = server.post('/v1/multi-search', searches=searches)
            steps = server.event_kinds('r2')
        first, second, third = found.body['replies']
        assert health.body['capabilities'] == ['multi_search']
        assert (first['request_id'], first['count']) == ('r1', 2)
        assert (second['code'], second['verdict']) == (
            'snapshot_gone',
            'not_run',
        )
        assert (third['request_id'], third['count']) == ('r3', 1)
        assert steps == ['received', 'refused']

    def test_each_occupies_a_slot(self) -> None:
        """Searches beyond the number of slots are shed."""
        searches = [search_body(f'r{number}') for number in range(3)]
        with backend(multi_search=True, slots=2, mean_ms=50) as server:
            found = server.post('/v1/multi-search', searches=searches)
        codes = [reply.get('code') for reply in found.body['replies']]
        assert codes == [None, None, 'shed']

    def test_is_off_by_default(self) -> None:
        """A server without the capability rejects the request."""
        with backend() as server:
            refused = server.post('/v1/multi-search', searches=[])
        assert refused.status == 400


class TestExecute:
    """Requests that must run at most once."""

    def test_outcome_contains_run_count(self) -> None:
        """The outcome shows that a request ran twice."""
        with backend() as server:
            outcomes = [
                server.post('/v1/execute', **execute_body()).body['outcome']
                for _ in range(2)
            ]
        assert outcomes == ['issue-3-1', 'issue-3-2']


class TestSlots:
    """Slots, shedding, cancellation and deadlines."""

    def test_sheds_when_all_slots_are_busy(self) -> None:
        """A server without free slots refuses with the verdict not_run."""
        with backend(slots=1, mean_ms=60_000) as server:
            body = search_body('long')
            with run_in_thread(lambda: server.post('/v1/search', **body)):
                server.wait_for('long', 'started')
                shed = server.post('/v1/search', **search_body('next'))
                server.post('/v1/cancel', request_id='long', sub_query='s0')
            steps = server.event_kinds('next')
        assert (shed.status, shed.body['code']) == (503, 'shed')
        assert shed.body['verdict'] == 'not_run'
        assert steps == ['received', 'refused']

    def test_cancel_frees_the_slot(self) -> None:
        """A cancelled request ends immediately and releases its slot."""
        with backend(slots=1, mean_ms=60_000) as server:
            body = execute_body('long')
            with run_in_thread(
                lambda: server.post('/v1/execute', **body)
            ) as responses:
                server.wait_for('long', 'started')
                done = server.post(
                    '/v1/cancel', request_id='long', sub_query='s0'
                )
            load = server.get('/v1/load')
        assert done.body['cancelled']
        assert (responses[0].status, responses[0].body['code']) == (
            499,
            'cancelled',
        )
        assert responses[0].body['verdict'] == 'may_have_run'
        assert load.body['busy'] == 0

    def test_cancel_of_an_unknown_request(self) -> None:
        """Cancelling an unknown request reports that nothing was cancelled."""
        with backend() as server:
            done = server.post('/v1/cancel', request_id='r1', sub_query='s0')
        assert not done.body['cancelled']

    def test_deadline_while_it_runs(self) -> None:
        """A request that exceeds its deadline may have run."""
        with backend(mean_ms=60_000, shape=100) as server:
            late = server.post('/v1/execute', **execute_body(deadline_ms=20))
            steps = server.event_kinds('r1')
        assert (late.status, late.body['code']) == (504, 'deadline')
        assert late.body['verdict'] == 'may_have_run'
        assert 'started' in steps
        assert 'ran' not in steps
