"""Typed requests of the key-value stand-in."""

import enum

import attrs


@enum.unique
class CompareTarget(enum.Enum):
    """Property of a key that a comparison reads."""

    VERSION = 'VERSION'
    CREATE = 'CREATE'
    MOD = 'MOD'
    VALUE = 'VALUE'
    LEASE = 'LEASE'


@enum.unique
class CompareResult(enum.Enum):
    """Required relation between the property and the operand."""

    EQUAL = 'EQUAL'
    GREATER = 'GREATER'
    LESS = 'LESS'
    NOT_EQUAL = 'NOT_EQUAL'


@attrs.frozen(kw_only=True)
class KeyValue:
    """Stored key with its value, revisions and lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class KeyRange:
    """Single key, or the half-open range from `key` to `range_end`.

    An empty `range_end` selects the single key, and one zero byte leaves the
    range without an upper bound.
    """

    key: bytes
    range_end: bytes = b''

    def contains(self, key: bytes) -> bool:
        """Return whether `key` lies in the range."""
        if not self.range_end:
            return key == self.key
        unbounded = self.range_end == b'\x00'
        return key >= self.key and (unbounded or key < self.range_end)


@attrs.frozen(kw_only=True)
class Put:
    """Write of one key."""

    key: bytes
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class Range:
    """Read of a range; a `limit` of 0 means no limit."""

    key_range: KeyRange
    limit: int = 0
    keys_only: bool = False


@attrs.frozen(kw_only=True)
class Delete:
    """Deletion of a range."""

    key_range: KeyRange


Operation = Put | Range | Delete


@attrs.frozen(kw_only=True)
class Compare:
    """Condition on one key in a transaction."""

    key: bytes
    target: CompareTarget
    result: CompareResult
    operand: int | bytes


@attrs.frozen(kw_only=True)
class Transaction:
    """Operations that run if all comparisons hold, else other operations."""

    compares: tuple[Compare, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...]
