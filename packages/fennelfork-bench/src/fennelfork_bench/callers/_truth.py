"""What the front of the stand-ins holds, for the checkers of histories."""

import functools
import json
from collections.abc import Mapping
from typing import Final

import cattrs

from fennelfork.gather import KeyRange, key_range
from fennelfork_bench.backend_server._records import Query, select_records
from fennelfork_bench.checks._base import Truth

_CACHED: Final = 256


def front_truth(keys: int, front_seed: int, newest: int) -> Truth:
    """Build the truth of a front of the stand-ins.

    The stamp of a record is its text, which names its key and snapshot.

    Args:
        keys: size of the key space.
        front_seed: seed of the records.
        newest: the snapshots from 1 to this one exist.
    """
    return Truth(
        keys=keys,
        snapshots=frozenset(range(1, newest + 1)),
        stamps=functools.partial(_stamps, key_range(0, keys), front_seed),
    )


@functools.lru_cache(_CACHED)
def _stamps(
    whole: KeyRange,
    front_seed: int,
    snapshot: int,
    query: str,
) -> Mapping[int, str]:
    wanted = cattrs.structure(json.loads(query), Query)
    found = select_records(front_seed, snapshot, whole, wanted)
    return {record.key: record.text for record in found}
