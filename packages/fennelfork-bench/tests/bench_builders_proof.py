"""Builders of small histories for the tests of the checkers."""

import json
from collections.abc import Mapping

import attrs

from fennelfork import Verdict
from fennelfork.gather import KeyRange
from fennelfork_bench.checks._base import ExpectedIndex, Violation
from fennelfork_bench.history._caller import (
    Ended,
    ExecuteAnswered,
    ExecuteAsked,
    QueryAnswered,
    QueryAsked,
    RecordSeen,
    Refused,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History, merge_events
from fennelfork_bench.history._server import ExecuteRan, QueryRan, WorkReceived

KEYS = 10
ALL_KEYS = tuple(range(KEYS))


def stamp(snapshot: int, key: int) -> str:
    """Return the digest of a record at a snapshot."""
    return f'{key}@{snapshot}'


def expected_index() -> ExpectedIndex:
    """Build an expected index of ten keys and the snapshots 1 and 2."""
    return ExpectedIndex(keys=KEYS, snapshots=frozenset((1, 2)), stamps=_stamps)


def _stamps(snapshot: int, query: str) -> Mapping[int, str]:
    wanted = json.loads(query).get('keys', ALL_KEYS)
    return {key: stamp(snapshot, key) for key in wanted}


def records(*keys: int, snapshot: int = 1) -> tuple[RecordSeen, ...]:
    """Build the correct records of the given keys."""
    return tuple(
        RecordSeen(key=key, stamp=stamp(snapshot, key)) for key in keys
    )


def query_asked(**changes: object) -> QueryAsked:
    """Build a query for every record."""
    asked = QueryAsked(
        at_ms=100,
        attempt='try-1',
        request_id='req-1',
        caller='desk-1',
        daemon='vm-1',
        entry_until_ms=5000,
        front='raft-search',
        query='{}',
        whole=True,
        floor=0,
    )
    return attrs.evolve(asked, **changes)


def query_answered(**changes: object) -> QueryAnswered:
    """Build the complete and correct answer to `query_asked`."""
    answer = QueryAnswered(
        at_ms=150,
        attempt='try-1',
        reply_to='req-1',
        snapshot=1,
        records=records(*ALL_KEYS),
        complete=True,
        fraction=1,
        missing=(),
        config_version=1,
    )
    return attrs.evolve(answer, **changes)


def partial_answer(**changes: object) -> QueryAnswered:
    """Build a correct partial answer without the upper half of the keys."""
    answer = query_answered(
        records=records(0, 1, 2, 3, 4),
        complete=False,
        fraction=0.5,
        missing=(KeyRange(lo=5, hi=KEYS),),
    )
    return attrs.evolve(answer, **changes)


def execute_asked(**changes: object) -> ExecuteAsked:
    """Build an execution of `issue` on key 3."""
    asked = ExecuteAsked(
        at_ms=100,
        attempt='try-1',
        request_id='req-1',
        caller='desk-1',
        daemon='vm-1',
        entry_until_ms=5000,
        front='raft-search',
        key=3,
        action='issue',
    )
    return attrs.evolve(asked, **changes)


def execute_answered(**changes: object) -> ExecuteAnswered:
    """Build the answer to `execute_asked`."""
    answer = ExecuteAnswered(
        at_ms=150,
        attempt='try-1',
        reply_to='req-1',
        key=3,
        outcome='done',
        config_version=1,
    )
    return attrs.evolve(answer, **changes)


def execute_ran(**changes: object) -> ExecuteRan:
    """Build the run of `execute_asked`."""
    run = ExecuteRan(
        at_ms=120,
        server='raft-a',
        request_id='req-1',
        sub_query='s0',
        key=3,
        action='issue',
    )
    return attrs.evolve(run, **changes)


def query_ran(**changes: object) -> QueryRan:
    """Build the run of `query_asked` on one server."""
    run = QueryRan(
        at_ms=120,
        server='raft-a',
        request_id='req-1',
        sub_query='s0',
        snapshot=1,
        lo=0,
        hi=KEYS,
    )
    return attrs.evolve(run, **changes)


def received(**changes: object) -> WorkReceived:
    """Build the arrival of `query_asked` at one server."""
    arrival = WorkReceived(
        at_ms=119,
        server='raft-a',
        request_id='req-1',
        sub_query='s0',
    )
    return attrs.evolve(arrival, **changes)


def refused(**changes: object) -> Refused:
    """Build a refusal with the verdict that nothing ran."""
    refusal = Refused(
        at_ms=150,
        attempt='try-1',
        reply_to='req-1',
        code='shed',
        verdict=Verdict.NOT_RUN,
    )
    return attrs.evolve(refusal, **changes)


def history(*events: Event) -> History:
    """Build a history of the given events."""
    return merge_events(events)


def answered(*ends: Ended) -> History:
    """Build a history of `query_asked` and the given ends."""
    return merge_events((query_asked(),), ends)


def join_details(violations: tuple[Violation, ...]) -> str:
    """Join the details of violations into one string."""
    return '; '.join(violation.detail for violation in violations)
