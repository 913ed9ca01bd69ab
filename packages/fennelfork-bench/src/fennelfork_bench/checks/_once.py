"""Checks that each non-idempotent request runs at most once."""

from fennelfork_bench.checks._base import Guarantee, Violation
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import ExecuteRan


def check_at_most_once(history: History) -> tuple[Violation, ...]:
    """Find requests that backend servers ran more than once.

    The part of a request id after `@` identifies the ticket. A caller
    requests a new ticket only after an answer that nothing ran, so the runs
    of all tickets count together.
    """
    runs: dict[str, list[ExecuteRan]] = {}
    for run in history.of_type(ExecuteRan):
        base_id = run.request_id.partition('@')[0]
        runs.setdefault(base_id, []).append(run)
    return tuple(
        Violation(
            guarantee=Guarantee.AT_MOST_ONCE,
            detail=f'{base_id} ran {len(request_runs)} times',
            events=tuple(request_runs),
        )
        for base_id, request_runs in runs.items()
        if len(request_runs) > 1
    )
