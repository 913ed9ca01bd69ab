"""CPU time and memory readings of processes."""

import os

from fennelfork_bench.rig._usage import Usage, core_percent, read_usage


class TestUsage:
    """Resource usage of a process."""

    def test_work_increases_cpu_time(self) -> None:
        """CPU time increases with work and memory readings are plausible."""
        before = read_usage(os.getpid())
        while read_usage(os.getpid()).cpu_ms < before.cpu_ms + 50:
            sum(range(10_000))
        assert before.resident_mb > 1
        assert 1 < before.private_mb < before.resident_mb

    def test_percent_of_a_core(self) -> None:
        """Half a second of CPU time in one second is 50 percent of a core."""
        before = Usage(cpu_ms=1000, resident_mb=1)
        after = Usage(cpu_ms=1500, resident_mb=1)
        assert core_percent(before, after, 1000) == 50
