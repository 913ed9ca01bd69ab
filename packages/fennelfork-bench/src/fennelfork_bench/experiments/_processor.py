"""Processor time that processes of the rig used."""

import time
from collections.abc import Iterable
from typing import Final

from fennelfork_bench.rig._process import Process
from fennelfork_bench.rig._usage import usage

_US_PER_MS: Final = 1000


def processor_us(processes: Iterable[Process]) -> float:
    """Give the processor time that living processes used so far."""
    return _US_PER_MS * sum(usage(each.pid).cpu_ms for each in processes)


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
