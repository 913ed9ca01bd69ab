"""A root whose homes are lost, and what it says of what ran."""

import pytest
from daemon_builders_answers import (
    NO_CONNECT,
    NO_REPLY,
    SHED,
    scatter_over_homes,
    scatter_with_one_shed,
)

from fennelfork import Failure, Verdict
from fennelfork.gather import CompleteCoverage, PartialCoverage


class TestLostHomes:
    """The next home is asked, and the doubt stays."""

    @pytest.mark.parametrize(
        ('first', 'verdict'),
        [
            (NO_REPLY, Verdict.MAY_HAVE_RUN),
            (NO_CONNECT, Verdict.NOT_RUN),
        ],
    )
    def test_a_refusal_is_true_of_all_homes(
        self,
        first: Failure,
        verdict: Verdict,
    ) -> None:
        """A home that got the work may still run it when it wakes."""
        calls, merge = scatter_over_homes([first, SHED])
        assert len(set(calls.asked)) == 2
        assert merge.verdict is verdict

    def test_gives_up_when_all_homes_are_lost(self) -> None:
        """After a few homes it stops, and says that the work may have run."""
        calls, merge = scatter_over_homes([NO_REPLY, NO_REPLY, NO_REPLY])
        assert len(calls.asked) == 3
        assert merge.verdict is Verdict.MAY_HAVE_RUN


class TestGivenUp:
    """A query whose demand can no longer be met."""

    def test_is_answered_at_once(self) -> None:
        """No home is waited for, or asked for a sign of life, after that."""
        calls, merge = scatter_with_one_shed(CompleteCoverage())
        assert len(calls.asked) == 2
        assert len(merge.pending) == 1
        assert merge.verdict is Verdict.MAY_HAVE_RUN

    def test_half_is_waited_for_if_wanted(self) -> None:
        """Where half is enough, the busy home is waited for and asked."""
        calls, merge = scatter_with_one_shed(PartialCoverage(floor=0.5))
        assert any(asked.endswith('lives?') for asked in calls.asked)
        assert len(merge.pending) == 1
