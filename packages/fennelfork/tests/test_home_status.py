"""Status of backend servers, for operators."""

import pytest
from core_builders_home import COLD, DRAINING, SERVING, rig

from fennelfork import FailureCode, may_have_run
from fennelfork.home import ServerCondition, ServerReport


class TestStatuses:
    """Status of each server, by name."""

    def test_counts_slots_and_lists_snapshots(self) -> None:
        """The status has the slots in use and the reported snapshots."""
        shard = rig(servers=2)
        shard.submit()
        statuses = shard.home.server_statuses
        assert [status.name for status in statuses] == ['s0', 's1']
        assert sum(status.busy for status in statuses) == 1
        assert statuses[0].snapshots == (7,)

    @pytest.mark.parametrize(
        ('report', 'condition'),
        [
            (SERVING, ServerCondition.SERVING),
            (DRAINING, ServerCondition.DRAINING),
            (COLD, ServerCondition.COLD),
        ],
    )
    def test_follows_reports(
        self,
        report: ServerReport,
        condition: ServerCondition,
    ) -> None:
        """The condition follows the last health report."""
        shard = rig(servers=1)
        shard.home.servers.on_report('s0', report)
        assert shard.home.server_statuses[0].condition is condition

    def test_leaving(self) -> None:
        """A report from another source sets the condition."""
        shard = rig(servers=1)
        shard.home.servers.on_leaving('s0')
        assert (
            shard.home.server_statuses[0].condition is ServerCondition.LEAVING
        )

    def test_ejected_then_returning(self) -> None:
        """A failing server is ejected and then returns in slow start."""
        shard = rig(servers=2)
        failure = may_have_run(FailureCode.BAD_REPLY, 'the body is not JSON')
        for attempt in range(1, 30):
            shard.submit()
            shard.home.on_failure(attempt, failure)
        found = {status.condition for status in shard.home.server_statuses}
        assert ServerCondition.EJECTED in found
        shard.after(60_000)
        found = {status.condition for status in shard.home.server_statuses}
        assert ServerCondition.RETURNING in found
