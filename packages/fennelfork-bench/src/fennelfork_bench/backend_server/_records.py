"""Records of the stand-in, derived from the seed of the front."""

from collections.abc import Iterable
from typing import Final

import attrs
import xxhash

from fennelfork.gather import KeyRange

_KINDS: Final = ('raft', 'flare', 'release', 'voucher', 'payout')
_STATES: Final = ('due', 'valid', 'expired')


@attrs.frozen(kw_only=True)
class Record:
    """One record of the index."""

    key: int
    text: str


@attrs.frozen(kw_only=True)
class Query:
    """Filter for the records of a key range.

    Attributes:
        text: substring of the text of matching records; none matches all.
        keys: keys of matching records; none matches all.
    """

    text: str | None = None
    keys: tuple[int, ...] | None = None


def record_at(front_seed: int, key: int, snapshot: int) -> Record:
    """Compute the record of a key at a snapshot.

    The text contains the key and the snapshot, so that checks detect an
    answer mixed from two snapshots.
    """
    digest = xxhash.xxh32_intdigest(f'{front_seed}:{key}:{snapshot}'.encode())
    kind = _KINDS[digest % len(_KINDS)]
    state = _STATES[digest // len(_KINDS) % len(_STATES)]
    return Record(key=key, text=f'{kind} {key:06d} {state} v{snapshot}')


def select_records(
    front_seed: int,
    snapshot: int,
    held: KeyRange,
    query: Query,
) -> tuple[Record, ...]:
    """Compute the records of a key range that match a query, by key."""
    records = [
        record_at(front_seed, key, snapshot)
        for key in _matching_keys(held, query)
    ]
    return tuple(
        record
        for record in records
        if query.text is None or query.text in record.text
    )


def _matching_keys(held: KeyRange, query: Query) -> Iterable[int]:
    if query.keys is None:
        return range(held.lo, held.hi)
    return sorted({key for key in query.keys if held.contains(key)})
