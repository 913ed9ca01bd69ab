"""Processor time and memory of a process, as the kernel counts them."""

import os
from pathlib import Path
from typing import Final

import attrs

_MS_PER_S: Final = 1000
_USER_FIELD: Final = 11  # of what follows the command's name
_SYSTEM_FIELD: Final = 12
_KIB_PER_MIB: Final = 1024
_PERCENT: Final = 100
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')


@attrs.frozen(kw_only=True)
class Usage:
    """What a process has used so far.

    Attributes:
        cpu_ms: processor time since its start.
        resident_mb: memory that it holds now.
        private_mb: the part of it that is not pages of files, such as
            libraries, which processes share.
    """

    cpu_ms: float
    resident_mb: float
    private_mb: float = 0


def usage(pid: int) -> Usage:
    """Read what a process has used.

    Raises:
        OSError: if it has ended.
    """
    proc = Path(f'/proc/{pid}')
    after_name = proc.joinpath('stat').read_text().rpartition(')')[2]
    fields = after_name.split()
    held_kb = _status_kb(proc)
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return Usage(
        cpu_ms=ticks * _MS_PER_S / _TICKS_PER_S,
        resident_mb=held_kb.get('VmRSS', 0) / _KIB_PER_MIB,
        private_mb=held_kb.get('RssAnon', 0) / _KIB_PER_MIB,
    )


def core_percent(before: Usage, after: Usage, elapsed_ms: float) -> float:
    """Give the share of one core used between two readings, in percent."""
    return (after.cpu_ms - before.cpu_ms) / elapsed_ms * _PERCENT


def _status_kb(proc: Path) -> dict[str, int]:
    """Read the amounts of memory that the kernel tells; none of one ended."""
    lines = proc.joinpath('status').read_text().splitlines()
    fields = [line.split() for line in lines if line.endswith(' kB')]
    return {name.rstrip(':'): int(amount) for name, amount, _unit in fields}
