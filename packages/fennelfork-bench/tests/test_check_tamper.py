"""One false event in a long good history is found, wherever it stands."""

from collections.abc import Callable

import attrs
from bench_builders_proof import (
    execute_answered,
    execute_asked,
    execute_ran,
    partial_answer,
    query_answered,
    query_asked,
    query_ran,
    refused,
    truth,
)
from hypothesis import assume, given
from hypothesis import strategies as st

from fennelfork_bench.checks._all import check_history
from fennelfork_bench.checks._base import Guarantee, Limits
from fennelfork_bench.history._caller import Ended, Refused
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import gather

_GOOD = {
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


def _hide_gap(event: Event) -> Event:
    return attrs.evolve(event, complete=True, fraction=1, missing=())


def _cross(event: Event) -> Event:
    return attrs.evolve(event, reply_to='another')


_CHANGES: dict[Callable[[Event], Event], tuple[str, Guarantee]] = {
    _lose_record: ('whole', Guarantee.TRUE_COVERAGE),
    _mix_snapshots: ('whole', Guarantee.ONE_SNAPSHOT),
    _hide_gap: ('partial', Guarantee.TRUE_COVERAGE),
    _cross: ('issued', Guarantee.OWN_ANSWER),
}
_ADDED = {
    'refused': (query_ran(), Guarantee.TRUE_REFUSAL),
    'not issued': (execute_ran(), Guarantee.TRUE_REFUSAL),
    'issued': (execute_ran(server='raft-b'), Guarantee.AT_MOST_ONCE),
}

_sessions = st.lists(st.sampled_from(list(_GOOD)), min_size=1, max_size=12)


def _renamed(number: int, event: Event) -> Event:
    names = {
        'attempt': f'try-{number}',
        'request_id': f'req-{number}',
        'reply_to': f'req-{number}',
    }
    fields = {field.name for field in attrs.fields(type(event))}
    mine = {name: to for name, to in names.items() if name in fields}
    return attrs.evolve(event, **mine)


def _events(kinds: list[str]) -> list[list[Event]]:
    return [
        [_renamed(number, event) for event in _GOOD[kind]]
        for number, kind in enumerate(kinds)
    ]


def _found(sessions: list[list[Event]]) -> set[Guarantee]:
    broken = check_history(gather(*sessions), truth(), Limits())
    return {violation.promise for violation in broken}


class TestTampering:
    """The checkers are not blind."""

    @given(kinds=_sessions)
    def test_good(self, kinds) -> None:
        """Any mix of good requests is good."""
        assert _found(_events(kinds)) == set()

    @given(kinds=_sessions, change=st.sampled_from(list(_CHANGES)))
    def test_changed_answer(self, kinds, change) -> None:
        """One answer that was changed is found."""
        kind, promise = _CHANGES[change]
        assume(kind in kinds)
        sessions = _events(kinds)
        changed = sessions[kinds.index(kind)]
        changed[-1] = change(changed[-1])
        assert promise in _found(sessions)

    @given(kinds=_sessions, kind=st.sampled_from(list(_ADDED)))
    def test_added_run(self, kinds, kind) -> None:
        """One run that should not have been is found."""
        assume(kind in kinds)
        number = kinds.index(kind)
        run, promise = _ADDED[kind]
        sessions = [*_events(kinds), [_renamed(number, run)]]
        assert promise in _found(sessions)

    @given(kinds=_sessions)
    def test_lost_end(self, kinds) -> None:
        """A try without its end is found, and so is a doubled end."""
        sessions = _events(kinds)
        end = sessions[-1].pop()
        assert isinstance(end, Ended | Refused)
        assert Guarantee.OWN_ANSWER in _found(sessions)
        assert Guarantee.OWN_ANSWER in _found([*sessions, [end, end]])
