"""Runs all checkers on one history."""

import itertools

from fennelfork_bench.checks._answer import check_answer_matches_request
from fennelfork_bench.checks._base import ExpectedIndex, TimeLimits, Violation
from fennelfork_bench.checks._config import check_active_configuration
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
    index: ExpectedIndex,
    limits: TimeLimits,
) -> tuple[Violation, ...]:
    """Check every guarantee on a history.

    Args:
        history: all events of one test run.
        index: expected contents of the index.
        limits: time limits of the guarantees that have one.

    Returns:
        Violations with the events that prove them; empty if there are none.
    """
    found = (
        check_snapshot(history, index),
        check_coverage(history, index),
        check_answer_matches_request(history, index),
        check_refusal(history),
        check_at_most_once(history),
        check_drain(history, limits),
        check_graceful_stop(history),
        check_active_configuration(history, limits),
        check_patches(history),
    )
    return tuple(itertools.chain.from_iterable(found))
