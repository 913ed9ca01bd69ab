"""Builders of queries, replies and shards for the tests of answers."""

from collections.abc import Iterable

from fennelfork.gather import (
    ExpectedReply,
    Record,
    Reply,
    ShardView,
    SnapshotView,
    key_range,
)


def snapshot(version: int, *bounds: tuple[int, int]) -> SnapshotView:
    """Build the ranges of a shard at one snapshot."""
    return SnapshotView(
        version=version,
        ranges=tuple(key_range(lo, hi) for lo, hi in bounds),
    )


def shard(name: str, *snapshots: SnapshotView) -> ShardView:
    """Build the snapshots of one shard."""
    return ShardView(shard=name, snapshots=snapshots)


def records(keys: Iterable[int]) -> tuple[Record, ...]:
    """Build one record per key."""
    return tuple(Record(key=key, content={'key': key}) for key in keys)


def reply_to(expected: ExpectedReply, keys: Iterable[int]) -> Reply:
    """Build a valid reply to a sub-query."""
    found = records(keys)
    return Reply(
        request_id=expected.request_id,
        sub_query=expected.sub_query,
        snapshot=expected.snapshot,
        span=expected.span,
        count=len(found),
        records=found,
    )
