"""A request that is not idempotent runs at most once."""

from fennelfork_bench.checks._base import Promise, Violation
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import ExecuteRan


def check_at_most_once(history: History) -> tuple[Violation, ...]:
    """Find requests that backend servers ran more than once.

    The part of an id after `@` names the ticket. A caller takes another
    ticket only when it was told that nothing ran, so runs under two tickets
    count together.
    """
    runs: dict[str, list[ExecuteRan]] = {}
    for run in history.of(ExecuteRan):
        name = run.request_id.partition('@')[0]
        runs.setdefault(name, []).append(run)
    return tuple(
        Violation(
            promise=Promise.AT_MOST_ONCE,
            detail=f'{name} ran {len(ran)} times',
            events=tuple(ran),
        )
        for name, ran in runs.items()
        if len(ran) > 1
    )
