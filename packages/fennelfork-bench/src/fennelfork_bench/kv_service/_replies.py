"""Typed replies and changes of the key-value stand-in."""

import attrs

from fennelfork_bench.kv_service._messages import KeyValue


@attrs.frozen(kw_only=True)
class RangeReply:
    """What a read found; `count` ignores the limit."""

    found: tuple[KeyValue, ...]
    count: int


@attrs.frozen(kw_only=True)
class PutReply:
    """A write was done."""


@attrs.frozen(kw_only=True)
class DeleteReply:
    """How many keys were deleted."""

    deleted: int


Reply = RangeReply | PutReply | DeleteReply


@attrs.frozen(kw_only=True)
class TransactionReply:
    """Whether the comparisons held, and the reply to each operation."""

    succeeded: bool
    replies: tuple[Reply, ...]


@attrs.frozen(kw_only=True)
class Event:
    """One change of one key; a deletion has no value and version 0."""

    entry: KeyValue

    @property
    def deleted(self) -> bool:
        """Whether the key was deleted."""
        return self.entry.version == 0
