"""Views of shards, to and from the messages of the peer face."""

from typing import Any

from fennelfork.gather import KeyRange, ShardView, SnapshotView
from fennelfork_daemon.peer._idl import peer


def views_to_peer(views: tuple[ShardView, ...]) -> list[Any]:
    """Write what shards hold."""
    return [
        peer.ShardView(
            shard=view.shard,
            snapshots=[_snapshot_to_peer(held) for held in view.snapshots],
        )
        for view in views
    ]


def views_from_peer(messages: list[Any]) -> tuple[ShardView, ...]:
    """Read what shards hold."""
    return tuple(
        ShardView(
            shard=view.shard,
            snapshots=tuple(
                _snapshot_from_peer(held) for held in view.snapshots
            ),
        )
        for view in messages
    )


def _snapshot_to_peer(held: SnapshotView) -> Any:
    return peer.ShardSnapshot(
        version=held.version,
        ranges=[peer.KeySpan(lo=span.lo, hi=span.hi) for span in held.ranges],
    )


def _snapshot_from_peer(message: Any) -> SnapshotView:
    return SnapshotView(
        version=message.version,
        ranges=tuple(
            KeyRange(lo=span.lo, hi=span.hi) for span in message.ranges
        ),
    )
