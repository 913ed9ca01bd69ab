"""Conversion between shard views and thrift messages."""

from typing import Any

from fennelfork.gather import KeyRange, ShardView, SnapshotView
from fennelfork_daemon.peer._idl import peer


def views_to_peer(views: tuple[ShardView, ...]) -> list[Any]:
    """Convert shard views to thrift messages."""
    return [
        peer.ShardView(
            shard=view.shard,
            snapshots=[
                _snapshot_to_peer(snapshot) for snapshot in view.snapshots
            ],
            refusing_servers=list(view.refusing_servers),
        )
        for view in views
    ]


def views_from_peer(messages: list[Any]) -> tuple[ShardView, ...]:
    """Convert thrift messages to shard views."""
    return tuple(
        ShardView(
            shard=view.shard,
            snapshots=tuple(
                _snapshot_from_peer(snapshot) for snapshot in view.snapshots
            ),
            # Absent in messages of daemons of an earlier version.
            refusing_servers=tuple(view.refusing_servers or ()),
        )
        for view in messages
    )


def _snapshot_to_peer(snapshot: SnapshotView) -> Any:
    return peer.ShardSnapshot(
        version=snapshot.version,
        ranges=[
            peer.KeySpan(lo=span.lo, hi=span.hi) for span in snapshot.ranges
        ],
    )


def _snapshot_from_peer(message: Any) -> SnapshotView:
    return SnapshotView(
        version=message.version,
        ranges=tuple(
            KeyRange(lo=span.lo, hi=span.hi) for span in message.ranges
        ),
    )
