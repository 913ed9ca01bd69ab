"""Scatter of a root daemon to failing or unresponsive home daemons."""

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


class TestFailedHomes:
    """Fallback to another home daemon and the resulting verdict."""

    @pytest.mark.parametrize(
        ('first', 'verdict'),
        [
            (NO_REPLY, Verdict.MAY_HAVE_RUN),
            (NO_CONNECT, Verdict.NOT_RUN),
        ],
    )
    def test_verdict_includes_failed_home(
        self,
        first: Failure,
        verdict: Verdict,
    ) -> None:
        """Guards against `NOT_RUN` for work that an earlier home may run."""
        homes, merge = scatter_over_homes([first, SHED])
        assert len(set(homes.asked)) == 2
        assert merge.verdict is verdict

    def test_stops_after_all_homes_fail(self) -> None:
        """The fallback is bounded, and the verdict is `MAY_HAVE_RUN`."""
        homes, merge = scatter_over_homes([NO_REPLY, NO_REPLY, NO_REPLY])
        assert len(homes.asked) == 3
        assert merge.verdict is Verdict.MAY_HAVE_RUN


class TestUnsatisfiableDemand:
    """Queries whose coverage demand may become unsatisfiable."""

    def test_ends_immediately(self) -> None:
        """No home is awaited or probed once the demand is unsatisfiable."""
        homes, merge = scatter_with_one_shed(CompleteCoverage())
        assert len(homes.asked) == 2
        assert len(merge.pending) == 1
        assert merge.verdict is Verdict.MAY_HAVE_RUN

    def test_probes_busy_home_for_partial_coverage(self) -> None:
        """A busy home is awaited and probed if the floor can be reached."""
        homes, merge = scatter_with_one_shed(PartialCoverage(floor=0.5))
        assert any(asked.endswith('probed') for asked in homes.asked)
        assert len(merge.pending) == 1
