"""Processor time that processes of the rig used."""

import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from fennelfork_bench._rig_process import Process

# Fields of /proc/PID/stat after the name in parentheses: user and system.
_USER: Final = 11
_SYSTEM: Final = 12
_US_PER_SECOND: Final = 1_000_000


def processor_us(processes: Iterable[Process]) -> float:
    """Give the processor time that living processes used so far."""
    ticks = sum(_ticks(process.pid) for process in processes)
    return ticks * _US_PER_SECOND / os.sysconf('SC_CLK_TCK')


def idle_us_per_s(processes: Iterable[Process], span_s: float) -> float:
    """Measure what processes use in a second while nothing is asked.

    Args:
        processes: living processes.
        span_s: how long to look.
    """
    watched = list(processes)
    before = processor_us(watched)
    time.sleep(span_s)
    return (processor_us(watched) - before) / span_s


def _ticks(pid: int) -> int:
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return int(fields[_USER]) + int(fields[_SYSTEM])
