"""Processor time of the processes of the rig."""

import time
from collections.abc import Iterable
from typing import Final

from fennelfork_bench.rig._process import Process
from fennelfork_bench.rig._usage import read_usage

_US_PER_MS: Final = 1000


def read_processor_us(processes: Iterable[Process]) -> float:
    """Return the total processor time of running processes."""
    return _US_PER_MS * sum(read_usage(each.pid).cpu_ms for each in processes)


def measure_idle_us_per_s(
    processes: Iterable[Process], duration_s: float
) -> float:
    """Measure the processor time per second of idle processes.

    Args:
        processes: running processes.
        duration_s: length of the measurement.
    """
    running = list(processes)
    before = read_processor_us(running)
    time.sleep(duration_s)
    return (read_processor_us(running) - before) / duration_s
