"""Typed replies and events of the key-value stand-in."""

import attrs

from fennelfork_bench.kv_service._messages import KeyValue


@attrs.frozen(kw_only=True)
class RangeReply:
    """Entries that a read returned; `count` ignores the limit."""

    entries: tuple[KeyValue, ...]
    count: int


@attrs.frozen(kw_only=True)
class PutReply:
    """Acknowledgement of a write."""


@attrs.frozen(kw_only=True)
class DeleteReply:
    """Number of keys that were deleted."""

    deleted: int


Reply = RangeReply | PutReply | DeleteReply


@attrs.frozen(kw_only=True)
class TransactionReply:
    """Result of the comparisons, and the reply to each operation."""

    succeeded: bool
    replies: tuple[Reply, ...]


@attrs.frozen(kw_only=True)
class Event:
    """Change of one key; a deletion has no value and version 0."""

    entry: KeyValue

    @property
    def is_deletion(self) -> bool:
        """Whether the event is a deletion of the key."""
        return self.entry.version == 0
