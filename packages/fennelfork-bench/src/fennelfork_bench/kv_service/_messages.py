"""Typed messages of the key-value stand-in."""

import enum

import attrs


@enum.unique
class CompareTarget(enum.Enum):
    """Which property of a key a comparison reads."""

    VERSION = 'VERSION'
    CREATE = 'CREATE'
    MOD = 'MOD'
    VALUE = 'VALUE'
    LEASE = 'LEASE'


@enum.unique
class CompareResult(enum.Enum):
    """How the property must relate to the operand."""

    EQUAL = 'EQUAL'
    GREATER = 'GREATER'
    LESS = 'LESS'
    NOT_EQUAL = 'NOT_EQUAL'


@attrs.frozen(kw_only=True)
class KeyValue:
    """One key as stored, with the revisions that made it."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class KeySpan:
    """One key, or every key from `key` up to, not including, `range_end`.

    A `range_end` of one zero byte means no upper end.
    """

    key: bytes
    range_end: bytes = b''

    def holds(self, key: bytes) -> bool:
        """Tell whether `key` lies in the span."""
        if not self.range_end:
            return key == self.key
        unbounded = self.range_end == b'\x00'
        return key >= self.key and (unbounded or key < self.range_end)


@attrs.frozen(kw_only=True)
class Put:
    """Write one key."""

    key: bytes
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class Range:
    """Read a span; `limit` 0 means no limit, `keys_only` leaves out values."""

    span: KeySpan
    limit: int = 0
    keys_only: bool = False


@attrs.frozen(kw_only=True)
class Delete:
    """Delete a span."""

    span: KeySpan


Operation = Put | Range | Delete


@attrs.frozen(kw_only=True)
class Compare:
    """A condition of a transaction on one key."""

    key: bytes
    target: CompareTarget
    result: CompareResult
    operand: int | bytes


@attrs.frozen(kw_only=True)
class Transaction:
    """Operations that run if all comparisons hold, and others if not."""

    compares: tuple[Compare, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...]
