"""Assignment of key ranges to shards at one snapshot of the index."""

from collections.abc import Iterable
from typing import Final

import attrs
from returns.result import Failure as Err
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.gather._range import KeyRange

_NONE_EXCLUDED: Final[frozenset[int]] = frozenset()


@attrs.frozen(kw_only=True)
class SnapshotView:
    """Key ranges that a shard holds at one snapshot."""

    version: int
    ranges: tuple[KeyRange, ...]


@attrs.frozen(kw_only=True)
class ShardView:
    """Snapshots that the servers of one shard reported.

    Attributes:
        shard: name of the shard.
        snapshots: snapshots that the available servers hold.
        refusing_servers: names of the servers that refused a request as
            draining and still drain.
    """

    shard: str
    snapshots: tuple[SnapshotView, ...]
    refusing_servers: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Assignment:
    """Key range that one shard is queried for."""

    shard: str
    span: KeyRange


@attrs.frozen(kw_only=True)
class PartitionMap:
    """Disjoint assignments at one snapshot, in key order."""

    snapshot: int
    assignments: tuple[Assignment, ...]

    @property
    def width(self) -> int:
        """Number of keys that the assignments cover."""
        return sum(assignment.span.width for assignment in self.assignments)


def pin_snapshot(
    views: Iterable[ShardView],
    full_range: KeyRange,
    exclude: frozenset[int] = _NONE_EXCLUDED,
) -> Result[PartitionMap, Failure]:
    """Select the snapshot of a query and assign key ranges to shards.

    While records move, shards hold ranges of several snapshots. A query reads
    only one of them, and overlaps are cut so that each key is read once.

    Args:
        views: snapshots and ranges that each shard holds.
        full_range: keys to cover.
        exclude: snapshots that are known to be gone.

    Returns:
        The map of the newest snapshot that covers `full_range`, or else of the
        one that covers most of it, the newest of equals; a failure when no
        snapshot covers any key.
    """
    held = _held_by_version(views)
    maps = [
        _build_partition(version, held[version], full_range)
        for version in sorted(held)
        if version not in exclude
    ]
    best = max(maps, key=_preference_key, default=None)
    if best is not None and best.assignments:
        return Success(best)
    if exclude:
        return Err(
            not_run(FailureCode.SNAPSHOT_GONE, 'no newer snapshot is held'),
        )
    return Err(
        not_run(FailureCode.NO_SERVER, 'no shard holds a key of the front'),
    )


def _preference_key(candidate: PartitionMap) -> tuple[int, int]:
    return (candidate.width, candidate.snapshot)


def _held_by_version(
    views: Iterable[ShardView],
) -> dict[int, list[Assignment]]:
    held: dict[int, list[Assignment]] = {}
    for view in views:
        for snapshot in view.snapshots:
            held.setdefault(snapshot.version, []).extend(
                Assignment(shard=view.shard, span=span)
                for span in snapshot.ranges
            )
    return held


def _build_partition(
    version: int,
    held: list[Assignment],
    full_range: KeyRange,
) -> PartitionMap:
    """Cut the held ranges to disjoint parts of `full_range`, few and wide."""
    assignments: list[Assignment] = []
    covered_until = full_range.lo
    for held_range in sorted(held, key=_start_key):
        lo = max(held_range.span.lo, covered_until)
        hi = min(held_range.span.hi, full_range.hi)
        if lo < hi:
            span = KeyRange(lo=lo, hi=hi)
            assignments.append(Assignment(shard=held_range.shard, span=span))
            covered_until = hi
    return PartitionMap(snapshot=version, assignments=tuple(assignments))


def _start_key(held_range: Assignment) -> tuple[int, int, str]:
    return (held_range.span.lo, -held_range.span.hi, held_range.shard)
