"""Checks that requests refused as not run did not run."""

from collections.abc import Iterator

from fennelfork import Verdict
from fennelfork_bench.checks._base import (
    CallerAttempt,
    Guarantee,
    Violation,
    caller_attempts,
)
from fennelfork_bench.history._caller import ConnectRefused, Refused
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import ExecuteRan, QueryRan


def check_refusal(history: History) -> tuple[Violation, ...]:
    """Find requests that ran although every attempt was refused as not run.

    A run cannot be assigned to one of several attempts of a request, so a
    refusal is wrong only if no other attempt may have caused the run.
    """
    attempts_by_request: dict[str, list[CallerAttempt]] = {}
    for attempt in caller_attempts(history):
        attempts_by_request.setdefault(attempt.asked.request_id, []).append(
            attempt
        )
    runs = _group_runs_by_request(history)
    return tuple(_find_violations(attempts_by_request, runs))


def _find_violations(
    attempts_by_request: dict[str, list[CallerAttempt]],
    runs: dict[str, list[Event]],
) -> Iterator[Violation]:
    for request_id, attempts in attempts_by_request.items():
        ran = runs.get(request_id, [])
        if ran and all(_reports_not_run(attempt) for attempt in attempts):
            ends = [end for attempt in attempts for end in attempt.ends]
            yield Violation(
                guarantee=Guarantee.TRUE_REFUSAL,
                detail=f'{request_id} was refused as not run but ran',
                events=(*ran, *ends),
            )


def _reports_not_run(attempt: CallerAttempt) -> bool:
    return bool(attempt.ends) and all(
        isinstance(end, ConnectRefused)
        or (isinstance(end, Refused) and end.verdict is Verdict.NOT_RUN)
        for end in attempt.ends
    )


def _group_runs_by_request(history: History) -> dict[str, list[Event]]:
    runs: dict[str, list[Event]] = {}
    for run in (*history.of_type(QueryRan), *history.of_type(ExecuteRan)):
        runs.setdefault(run.request_id, []).append(run)
    return runs
