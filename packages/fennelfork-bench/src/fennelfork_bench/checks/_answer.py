"""Checks that each caller receives exactly the answer to its own request."""

from collections.abc import Iterator

from fennelfork_bench.checks._base import (
    CallerAttempt,
    ExpectedIndex,
    Guarantee,
    Violation,
    caller_attempts,
)
from fennelfork_bench.history._caller import (
    Ended,
    ExecuteAnswered,
    ExecuteAsked,
    Malformed,
    QueryAnswered,
    QueryAsked,
    Refused,
)
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import ExecuteRan

# Request id, key and action of each execution on a backend server.
_Runs = set[tuple[str, int, str]]


def check_answer_matches_request(
    history: History, expected_index: ExpectedIndex
) -> tuple[Violation, ...]:
    """Find attempts without exactly one end or with a wrong answer."""
    attempts = caller_attempts(history)
    runs = {
        (run.request_id, run.key, run.action)
        for run in history.of_type(ExecuteRan)
    }
    return (
        *_find_unknown_answers(history, attempts),
        *(
            _build_violation(attempt, detail)
            for attempt in attempts
            for detail in _find_problems(attempt, runs, expected_index)
        ),
    )


def _find_unknown_answers(
    history: History,
    attempts: tuple[CallerAttempt, ...],
) -> Iterator[Violation]:
    known = {attempt.asked.attempt for attempt in attempts}
    for end in history.of_type(Ended):
        if end.attempt not in known:
            yield Violation(
                guarantee=Guarantee.OWN_ANSWER,
                detail='an answer without a request',
                events=(end,),
            )


def _find_problems(
    attempt: CallerAttempt, runs: _Runs, expected_index: ExpectedIndex
) -> Iterator[str]:
    if len(attempt.ends) != 1:
        yield f'{len(attempt.ends)} ends of one attempt, expected 1'
    for end in attempt.ends:
        yield from _find_addressing_problems(attempt, end)
        if isinstance(attempt.asked, QueryAsked):
            yield from _find_query_problems(attempt.asked, end, expected_index)
        if isinstance(attempt.asked, ExecuteAsked):
            yield from _find_execute_problems(attempt.asked, end, runs)


def _find_addressing_problems(
    attempt: CallerAttempt, end: Ended
) -> Iterator[str]:
    if isinstance(end, Malformed):
        yield f'a malformed response: {end.detail}'
    if not isinstance(end, QueryAnswered | ExecuteAnswered | Refused):
        return
    if end.reply_to != attempt.asked.request_id:
        yield f'a response to the request {end.reply_to!r}'


def _find_query_problems(
    asked: QueryAsked,
    end: Ended,
    expected_index: ExpectedIndex,
) -> Iterator[str]:
    if isinstance(end, ExecuteAnswered):
        yield 'a query received the answer of an execution'
    if not isinstance(end, QueryAnswered):
        return
    keys = [record.key for record in end.records]
    if len(keys) != len(set(keys)):
        yield 'the answer contains a duplicate record'
    unexpected = set(keys).difference(
        expected_index.stamps(end.snapshot, asked.query)
    )
    if unexpected:
        yield f'records that do not match the query: {sorted(unexpected)}'
    if asked.whole and not end.complete:
        yield 'a partial answer to a caller that requires a complete one'
    if end.fraction < asked.floor:
        yield f'fraction {end.fraction} below the minimum {asked.floor}'


def _find_execute_problems(
    asked: ExecuteAsked,
    end: Ended,
    runs: _Runs,
) -> Iterator[str]:
    if isinstance(end, QueryAnswered):
        yield 'an execution received the answer of a query'
    if not isinstance(end, ExecuteAnswered):
        return
    if end.key != asked.key:
        yield f'an outcome for key {end.key}'
    if (asked.request_id, asked.key, asked.action) not in runs:
        yield 'an outcome of an execution that no server ran'


def _build_violation(attempt: CallerAttempt, detail: str) -> Violation:
    return Violation(
        guarantee=Guarantee.OWN_ANSWER,
        detail=detail,
        events=(attempt.asked, *attempt.ends),
    )
