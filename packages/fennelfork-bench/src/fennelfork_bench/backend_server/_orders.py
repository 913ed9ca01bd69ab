"""Orders of the control face, as typed messages."""

import attrs


@attrs.frozen(kw_only=True)
class SnapshotOrder:
    """Tells a server to hold a snapshot.

    Attributes:
        version: the snapshot.
        ranges: what the server holds of it; none leaves it without a range.
        keep: older versions to go on holding; none given keeps all.
    """

    version: int
    ranges: tuple[tuple[int, int], ...]
    keep: tuple[int, ...] | None = None


@attrs.frozen(kw_only=True)
class DrainOrder:
    """Tells a server to refuse new work, or to take it again."""

    draining: bool = True
