"""Readings of processor time and memory."""

import os

from fennelfork_bench.rig._usage import Usage, core_percent, usage


class TestUsage:
    """What the kernel says of a process."""

    def test_work_shows_as_processor_time(self) -> None:
        """Processor time rises with work and memory is counted."""
        before = usage(os.getpid())
        while usage(os.getpid()).cpu_ms < before.cpu_ms + 50:
            sum(range(10_000))
        assert before.resident_mb > 1
        assert 1 < before.private_mb < before.resident_mb

    def test_percent_of_a_core(self) -> None:
        """Half a second of work in one second is half a core."""
        before = Usage(cpu_ms=1000, resident_mb=1)
        after = Usage(cpu_ms=1500, resident_mb=1)
        assert core_percent(before, after, 1000) == 50
