"""Tests of the evidence that a backend server is draining."""

import pytest

from fennelfork.servers import DrainState


class TestDrainState:
    """Guard against new work for a server that leaves."""

    def test_serves_at_first(self) -> None:
        """A server without any evidence is not draining."""
        assert not DrainState().is_draining

    def test_follows_health_reports(self) -> None:
        """Without a refusal, the latest report counts."""
        drain = DrainState()
        drain.record_report(draining=True)
        assert drain.is_draining
        drain.record_report(draining=False)
        assert not drain.is_draining

    def test_report_does_not_contradict_refusal(self) -> None:
        """Reports that never confirmed the refusal cannot end the drain."""
        drain = DrainState()
        drain.record_report(draining=False)
        drain.record_refusal()
        for _ in range(1000):
            drain.record_report(draining=False)
        assert drain.is_draining

    @pytest.mark.parametrize('refused_first', [False, True])
    def test_confirmed_refusal_ends_with_report(
        self, *, refused_first: bool
    ) -> None:
        """The order of the refusal and the first report is irrelevant."""
        drain = DrainState()
        if refused_first:
            drain.record_refusal()
        drain.record_report(draining=True)
        if not refused_first:
            drain.record_refusal()
        drain.record_report(draining=False)
        assert not drain.is_draining

    def test_next_refusal_needs_its_own_confirmation(self) -> None:
        """A report that confirmed an earlier drain does not end a later one."""
        drain = DrainState()
        drain.record_refusal()
        drain.record_report(draining=True)
        drain.record_report(draining=False)
        drain.record_refusal()
        drain.record_report(draining=False)
        assert drain.is_draining

    def test_end_of_the_process_ends_the_drain(self) -> None:
        """A new process at the same address starts without evidence."""
        drain = DrainState()
        drain.record_refusal()
        drain.record_report(draining=True)
        drain.record_process_ended()
        assert not drain.is_draining
