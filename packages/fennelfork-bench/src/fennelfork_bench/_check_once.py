"""A request that is not idempotent runs at most once."""

from fennelfork_bench._check_base import Promise, Violation
from fennelfork_bench._history import History
from fennelfork_bench._history_server import ExecuteRan


def check_at_most_once(history: History) -> tuple[Violation, ...]:
    """Find request ids that backend servers ran more than once."""
    runs: dict[str, list[ExecuteRan]] = {}
    for run in history.of(ExecuteRan):
        runs.setdefault(run.request_id, []).append(run)
    return tuple(
        Violation(
            promise=Promise.AT_MOST_ONCE,
            detail=f'{request_id} ran {len(ran)} times',
            events=tuple(ran),
        )
        for request_id, ran in runs.items()
        if len(ran) > 1
    )
