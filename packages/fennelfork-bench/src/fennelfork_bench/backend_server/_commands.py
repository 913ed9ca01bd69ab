"""Commands of the control interface."""

import attrs


@attrs.frozen(kw_only=True)
class SnapshotCommand:
    """Command to hold a snapshot.

    Attributes:
        version: version of the snapshot.
        ranges: key ranges of the snapshot that the server holds; may be
            empty.
        keep: other versions that the server keeps; none keeps all.
    """

    version: int
    ranges: tuple[tuple[int, int], ...]
    keep: tuple[int, ...] | None = None


@attrs.frozen(kw_only=True)
class DrainCommand:
    """Command to start or end the draining of a server."""

    draining: bool = True
