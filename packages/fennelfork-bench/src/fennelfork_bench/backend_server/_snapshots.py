"""Snapshots that a stand-in holds, and their key ranges."""

import attrs

from fennelfork.gather import KeyRange, key_range, missing_ranges
from fennelfork_bench.backend_server._commands import SnapshotCommand
from fennelfork_bench.backend_server._messages import HeldSnapshot


@attrs.define(kw_only=True)
class SnapshotStore:
    """Key ranges that the server holds, by snapshot."""

    _ranges: dict[int, tuple[KeyRange, ...]]

    @property
    def newest_version(self) -> int:
        """Version of the newest snapshot."""
        return max(self._ranges)

    @property
    def held_snapshots(self) -> tuple[HeldSnapshot, ...]:
        """Messages with all snapshots, oldest first."""
        return tuple(
            HeldSnapshot(
                version=version,
                ranges=tuple((part.lo, part.hi) for part in ranges),
            )
            for version, ranges in sorted(self._ranges.items())
        )

    def holds(self, version: int) -> bool:
        """Return whether the server holds a snapshot."""
        return version in self._ranges

    def covers(self, version: int, wanted: KeyRange) -> bool:
        """Return whether the server holds a complete range at a snapshot."""
        return not missing_ranges(wanted, self._ranges.get(version, ()))

    def apply_command(self, command: SnapshotCommand) -> None:
        """Add a snapshot and discard the snapshots that are not kept.

        Raises:
            ValueError: if a range of the command is empty.
        """
        ranges = tuple(key_range(lo, hi) for lo, hi in command.ranges)
        kept = {
            version: held
            for version, held in self._ranges.items()
            if command.keep is None or version in command.keep
        }
        self._ranges = {**kept, command.version: ranges}


def initial_snapshots(version: int, held: KeyRange) -> SnapshotStore:
    """Build a store with one range at one snapshot."""
    return SnapshotStore(ranges={version: (held,)})
