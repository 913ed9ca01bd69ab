"""A caller gets the whole answer to its own request, and nothing else."""

from collections.abc import Iterator

from fennelfork_bench.checks._base import (
    Promise,
    Truth,
    Try,
    Violation,
    tries_of,
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

# Request id, key and action of what the backend servers ran.
_Runs = set[tuple[str, int, str]]


def check_own_answer(history: History, truth: Truth) -> tuple[Violation, ...]:
    """Find tries left alone, ended twice, or given another's answer."""
    tries = tries_of(history)
    runs = {
        (run.request_id, run.key, run.action) for run in history.of(ExecuteRan)
    }
    return (
        *_orphans(history, tries),
        *(
            _violation(attempt, detail)
            for attempt in tries
            for detail in _faults(attempt, runs, truth)
        ),
    )


def _orphans(
    history: History,
    tries: tuple[Try, ...],
) -> Iterator[Violation]:
    known = {attempt.asked.attempt for attempt in tries}
    for end in history.of(Ended):
        if end.attempt not in known:
            yield Violation(
                promise=Promise.OWN_ANSWER,
                detail='an answer that nobody asked for',
                events=(end,),
            )


def _faults(attempt: Try, runs: _Runs, truth: Truth) -> Iterator[str]:
    if len(attempt.ends) != 1:
        yield f'{len(attempt.ends)} ends of one try'
    for end in attempt.ends:
        yield from _addressed(attempt, end)
        if isinstance(attempt.asked, QueryAsked):
            yield from _query_faults(attempt.asked, end, truth)
        if isinstance(attempt.asked, ExecuteAsked):
            yield from _execute_faults(attempt.asked, end, runs)


def _addressed(attempt: Try, end: Ended) -> Iterator[str]:
    if isinstance(end, Malformed):
        yield f'a malformed reply: {end.detail}'
    if not isinstance(end, QueryAnswered | ExecuteAnswered | Refused):
        return
    if end.reply_to != attempt.asked.request_id:
        yield f'a reply to {end.reply_to}'


def _query_faults(
    asked: QueryAsked,
    end: Ended,
    truth: Truth,
) -> Iterator[str]:
    if isinstance(end, ExecuteAnswered):
        yield 'a query got the answer of an execution'
    if not isinstance(end, QueryAnswered):
        return
    keys = [record.key for record in end.records]
    if len(keys) != len(set(keys)):
        yield 'a record stands twice in the answer'
    strange = set(keys).difference(truth.stamps(end.snapshot, asked.query))
    if strange:
        yield f'records that do not match the query: {sorted(strange)}'
    if asked.whole and not end.complete:
        yield 'partial though the caller takes only the whole'
    if end.fraction < asked.floor:
        yield f'fraction {end.fraction} below the floor {asked.floor}'


def _execute_faults(
    asked: ExecuteAsked,
    end: Ended,
    runs: _Runs,
) -> Iterator[str]:
    if isinstance(end, QueryAnswered):
        yield 'an execution got the answer of a query'
    if not isinstance(end, ExecuteAnswered):
        return
    if end.key != asked.key:
        yield f'an outcome for key {end.key}'
    if (asked.request_id, asked.key, asked.action) not in runs:
        yield 'an outcome of an execution that no server ran'


def _violation(attempt: Try, detail: str) -> Violation:
    return Violation(
        promise=Promise.OWN_ANSWER,
        detail=detail,
        events=(attempt.asked, *attempt.ends),
    )
