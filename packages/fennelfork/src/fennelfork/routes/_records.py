"""Merge of fixed-size records that are ordered bytewise."""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

# Size of a record; trailing bytes of a part that are shorter are ignored.
RECORD_BYTES: Final = 16


def largest_records(parts: Iterable[bytes], max_records: int) -> bytes:
    """Return the greatest records of all responses in descending order.

    Args:
        parts: concatenated records in any order. Equal records are not
            deduplicated.
        max_records: maximum number of records to return.
    """
    records = (record for part in parts for record in _split_records(part))
    return b''.join(heapq.nlargest(max_records, records))


def _split_records(part: bytes) -> Iterator[bytes]:
    whole = len(part) - len(part) % RECORD_BYTES
    for start in range(0, whole, RECORD_BYTES):
        yield part[start : start + RECORD_BYTES]
