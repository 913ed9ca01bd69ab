"""All checkers over one history."""

import itertools

from fennelfork_bench.checks._answer import check_own_answer
from fennelfork_bench.checks._base import Limits, Truth, Violation
from fennelfork_bench.checks._config import check_in_force
from fennelfork_bench.checks._coverage import check_coverage
from fennelfork_bench.checks._drain import check_drain
from fennelfork_bench.checks._once import check_at_most_once
from fennelfork_bench.checks._patches import check_patches
from fennelfork_bench.checks._refusal import check_refusal
from fennelfork_bench.checks._snapshot import check_snapshot
from fennelfork_bench.checks._stop import check_graceful_stop
from fennelfork_bench.history._history import History


def check_history(
    history: History,
    truth: Truth,
    limits: Limits,
) -> tuple[Violation, ...]:
    """Check every promise.

    Args:
        history: the events of one run, from its start to its end.
        truth: what the index held.
        limits: how long the promises that name a time may take.

    Returns:
        Each broken promise with the events that show it; empty if none.
    """
    found = (
        check_snapshot(history, truth),
        check_coverage(history, truth),
        check_own_answer(history, truth),
        check_refusal(history),
        check_at_most_once(history),
        check_drain(history, limits),
        check_graceful_stop(history),
        check_in_force(history, limits),
        check_patches(history),
    )
    return tuple(itertools.chain.from_iterable(found))
