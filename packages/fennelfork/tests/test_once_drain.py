"""Servers that refused because they leave."""

from fennelfork import ManualTime, drain_memory, manual_clock


class TestDrainMemory:
    """Who is passed over, and for how long."""

    def test_holds_a_refusal_for_a_while(self) -> None:
        """A refusal counts for 5 s, and only against that server."""
        manual = ManualTime(at_ms=1000)
        memory = drain_memory(manual_clock(manual))
        memory.note('10.0.0.1:9001')
        manual.advance(4999)
        assert memory.holds('10.0.0.1:9001')
        assert not memory.holds('10.0.0.1:9002')
        manual.advance(1)
        assert not memory.holds('10.0.0.1:9001')

    def test_refused_again(self) -> None:
        """A second refusal begins the time anew."""
        time = ManualTime()
        memory = drain_memory(manual_clock(time))
        memory.note('10.0.0.1:9001')
        time.advance(4000)
        memory.note('10.0.0.1:9001')
        time.advance(4000)
        assert memory.holds('10.0.0.1:9001')
