"""Merging of records of a fixed size, which are compared byte by byte."""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

# Size of one record; a shorter rest of a part is no record.
RECORD_BYTES: Final = 16


def greatest(parts: Iterable[bytes], most: int) -> bytes:
    """Give the greatest records of all parts, the greatest first.

    Args:
        parts: records one after the other, in no order. Equal records all
            count.
        most: how many records to give at most.
    """
    records = (record for part in parts for record in _records(part))
    return b''.join(heapq.nlargest(most, records))


def _records(part: bytes) -> Iterator[bytes]:
    whole = len(part) - len(part) % RECORD_BYTES
    for start in range(0, whole, RECORD_BYTES):
        yield part[start : start + RECORD_BYTES]
