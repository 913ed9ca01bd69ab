"""The snapshots that a stand-in holds, and their ranges."""

import attrs

from fennelfork.gather import KeyRange, key_range, missing_ranges
from fennelfork_bench.backend_server._messages import HeldSnapshot
from fennelfork_bench.backend_server._orders import SnapshotOrder


@attrs.define(kw_only=True)
class Holdings:
    """Which ranges the server holds at which snapshot."""

    _ranges: dict[int, tuple[KeyRange, ...]]

    @property
    def newest(self) -> int:
        """The newest snapshot held."""
        return max(self._ranges)

    @property
    def held(self) -> tuple[HeldSnapshot, ...]:
        """All snapshots held, oldest first, as messages."""
        return tuple(
            HeldSnapshot(
                version=version,
                ranges=tuple((part.lo, part.hi) for part in ranges),
            )
            for version, ranges in sorted(self._ranges.items())
        )

    def has(self, version: int) -> bool:
        """Tell whether the snapshot is held."""
        return version in self._ranges

    def covers(self, version: int, wanted: KeyRange) -> bool:
        """Tell whether the whole range is held at a snapshot."""
        return not missing_ranges(wanted, self._ranges.get(version, ()))

    def apply(self, order: SnapshotOrder) -> None:
        """Take up a snapshot and let go of those not to be kept.

        Raises:
            ValueError: if a range of the order is empty.
        """
        ranges = tuple(key_range(lo, hi) for lo, hi in order.ranges)
        kept = {
            version: held
            for version, held in self._ranges.items()
            if order.keep is None or version in order.keep
        }
        self._ranges = {**kept, order.version: ranges}


def first_holdings(version: int, held: KeyRange) -> Holdings:
    """Build holdings of one range at one snapshot."""
    return Holdings(ranges={version: (held,)})
