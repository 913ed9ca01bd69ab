"""A root whose homes are lost, and what it says of what ran."""

import pytest
from daemon_builders_answers import (
    NO_CONNECT,
    NO_REPLY,
    SHED,
    scattered,
)

from fennelfork import Failure, Verdict


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
        calls, merge = scattered([first, SHED])
        assert len(set(calls.asked)) == 2
        assert merge.verdict is verdict

    def test_gives_up_when_all_homes_are_lost(self) -> None:
        """After a few homes it stops, and says that the work may have run."""
        calls, merge = scattered([NO_REPLY, NO_REPLY, NO_REPLY])
        assert len(calls.asked) == 3
        assert merge.verdict is Verdict.MAY_HAVE_RUN
