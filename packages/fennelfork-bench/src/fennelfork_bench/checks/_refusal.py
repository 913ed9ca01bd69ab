"""A refusal that says that a request was not run is true."""

from collections.abc import Iterator

from fennelfork import Verdict
from fennelfork_bench.checks._base import Promise, Try, Violation, tries_of
from fennelfork_bench.history._caller import ConnectRefused, Refused
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import ExecuteRan, QueryRan


def check_refusal(history: History) -> tuple[Violation, ...]:
    """Find requests refused as not run in every try, which a server ran.

    Tries of one request id share its runs. So a run contradicts a refusal
    only when no other try of that id may account for it.
    """
    tries: dict[str, list[Try]] = {}
    for attempt in tries_of(history):
        tries.setdefault(attempt.asked.request_id, []).append(attempt)
    runs = _runs_by_request(history)
    return tuple(_violations(tries, runs))


def _violations(
    tries: dict[str, list[Try]],
    runs: dict[str, list[Event]],
) -> Iterator[Violation]:
    for request_id, attempts in tries.items():
        ran = runs.get(request_id, [])
        if ran and all(_says_not_run(attempt) for attempt in attempts):
            ends = [end for attempt in attempts for end in attempt.ends]
            yield Violation(
                promise=Promise.TRUE_REFUSAL,
                detail=f'{request_id} was refused as not run, and ran',
                events=(*ran, *ends),
            )


def _says_not_run(attempt: Try) -> bool:
    return bool(attempt.ends) and all(
        isinstance(end, ConnectRefused)
        or (isinstance(end, Refused) and end.verdict is Verdict.NOT_RUN)
        for end in attempt.ends
    )


def _runs_by_request(history: History) -> dict[str, list[Event]]:
    runs: dict[str, list[Event]] = {}
    for run in (*history.of(QueryRan), *history.of(ExecuteRan)):
        runs.setdefault(run.request_id, []).append(run)
    return runs
