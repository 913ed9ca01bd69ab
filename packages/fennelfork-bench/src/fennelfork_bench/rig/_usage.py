"""CPU time and memory of a process, read from `/proc`."""

import os
from pathlib import Path
from typing import Final

import attrs

_MS_PER_S: Final = 1000
_USER_TICKS_INDEX: Final = 11  # index after the command name in /proc/PID/stat
_SYSTEM_TICKS_INDEX: Final = 12
_KIB_PER_MIB: Final = 1024
_PERCENT_PER_CORE: Final = 100
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')


@attrs.frozen(kw_only=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_ms: CPU time since the start of the process.
        resident_mb: resident memory.
        private_mb: resident anonymous memory, which excludes pages of files
            such as shared libraries.
    """

    cpu_ms: float
    resident_mb: float
    private_mb: float = 0


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process.

    Raises:
        OSError: if the process has exited.
    """
    proc = Path(f'/proc/{pid}')
    after_name = proc.joinpath('stat').read_text().rpartition(')')[2]
    fields = after_name.split()
    memory_kb = _read_memory_kb(proc)
    ticks = int(fields[_USER_TICKS_INDEX]) + int(fields[_SYSTEM_TICKS_INDEX])
    return Usage(
        cpu_ms=ticks * _MS_PER_S / _TICKS_PER_S,
        resident_mb=memory_kb.get('VmRSS', 0) / _KIB_PER_MIB,
        private_mb=memory_kb.get('RssAnon', 0) / _KIB_PER_MIB,
    )


def core_percent(before: Usage, after: Usage, elapsed_ms: float) -> float:
    """Return the CPU usage between two readings in percent of one core."""
    return (after.cpu_ms - before.cpu_ms) / elapsed_ms * _PERCENT_PER_CORE


def _read_memory_kb(proc: Path) -> dict[str, int]:
    """Return the memory fields of a process; empty for a zombie process."""
    lines = proc.joinpath('status').read_text().splitlines()
    fields = [line.split() for line in lines if line.endswith(' kB')]
    return {name.rstrip(':'): int(amount) for name, amount, _unit in fields}
