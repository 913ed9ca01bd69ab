"""Tests that checkers detect one false event in a long valid history."""

from collections.abc import Callable

import attrs
from bench_builders_proof import (
    execute_answered,
    execute_asked,
    execute_ran,
    expected_index,
    partial_answer,
    query_answered,
    query_asked,
    query_ran,
    refused,
)
from hypothesis import assume, given
from hypothesis import strategies as st

from fennelfork_bench.checks._all import check_history
from fennelfork_bench.checks._base import Guarantee, TimeLimits
from fennelfork_bench.history._caller import Ended, Refused
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import merge_events

_VALID_SESSIONS = {
    'whole': (query_asked(), query_ran(), query_answered()),
    'partial': (query_asked(whole=False), query_ran(), partial_answer()),
    'refused': (query_asked(), refused()),
    'issued': (execute_asked(), execute_ran(), execute_answered()),
    'not issued': (execute_asked(), refused()),
}


def _lose_record(event: Event) -> Event:
    return attrs.evolve(event, records=event.records[:-1])


def _mix_snapshots(event: Event) -> Event:
    first, *others = event.records
    newer = attrs.evolve(first, stamp=f'{first.key}@2')
    return attrs.evolve(event, records=(newer, *others))


def _hide_missing_ranges(event: Event) -> Event:
    return attrs.evolve(event, complete=True, fraction=1, missing=())


def _swap_reply(event: Event) -> Event:
    return attrs.evolve(event, reply_to='another')


_TAMPERINGS: dict[Callable[[Event], Event], tuple[str, Guarantee]] = {
    _lose_record: ('whole', Guarantee.TRUE_COVERAGE),
    _mix_snapshots: ('whole', Guarantee.ONE_SNAPSHOT),
    _hide_missing_ranges: ('partial', Guarantee.TRUE_COVERAGE),
    _swap_reply: ('issued', Guarantee.OWN_ANSWER),
}
_EXTRA_RUNS = {
    'refused': (query_ran(), Guarantee.TRUE_REFUSAL),
    'not issued': (execute_ran(), Guarantee.TRUE_REFUSAL),
    'issued': (execute_ran(server='raft-b'), Guarantee.AT_MOST_ONCE),
}

_sessions = st.lists(
    st.sampled_from(list(_VALID_SESSIONS)), min_size=1, max_size=12
)


def _with_number(number: int, event: Event) -> Event:
    names = {
        'attempt': f'try-{number}',
        'request_id': f'req-{number}',
        'reply_to': f'req-{number}',
    }
    fields = {field.name for field in attrs.fields(type(event))}
    changes = {name: value for name, value in names.items() if name in fields}
    return attrs.evolve(event, **changes)


def _events(kinds: list[str]) -> list[list[Event]]:
    return [
        [_with_number(number, event) for event in _VALID_SESSIONS[kind]]
        for number, kind in enumerate(kinds)
    ]


def _violated_guarantees(sessions: list[list[Event]]) -> set[Guarantee]:
    violations = check_history(
        merge_events(*sessions), expected_index(), TimeLimits()
    )
    return {violation.guarantee for violation in violations}


class TestTampering:
    """Detection of tampered events."""

    @given(kinds=_sessions)
    def test_valid(self, kinds) -> None:
        """Valid requests in any order have no violations."""
        assert _violated_guarantees(_events(kinds)) == set()

    @given(kinds=_sessions, change=st.sampled_from(list(_TAMPERINGS)))
    def test_changed_answer(self, kinds, change) -> None:
        """One changed answer is detected."""
        kind, guarantee = _TAMPERINGS[change]
        assume(kind in kinds)
        sessions = _events(kinds)
        changed = sessions[kinds.index(kind)]
        changed[-1] = change(changed[-1])
        assert guarantee in _violated_guarantees(sessions)

    @given(kinds=_sessions, kind=st.sampled_from(list(_EXTRA_RUNS)))
    def test_added_run(self, kinds, kind) -> None:
        """One additional run is detected."""
        assume(kind in kinds)
        number = kinds.index(kind)
        run, guarantee = _EXTRA_RUNS[kind]
        sessions = [*_events(kinds), [_with_number(number, run)]]
        assert guarantee in _violated_guarantees(sessions)

    @given(kinds=_sessions)
    def test_missing_or_duplicate_end(self, kinds) -> None:
        """A missing end and a duplicate end of an attempt are detected."""
        sessions = _events(kinds)
        end = sessions[-1].pop()
        assert isinstance(end, Ended | Refused)
        assert Guarantee.OWN_ANSWER in _violated_guarantees(sessions)
        assert Guarantee.OWN_ANSWER in _violated_guarantees(
            [*sessions, [end, end]]
        )
