"""Records that the backend server stand-ins hold, for checks of histories."""

import functools
import json
from collections.abc import Mapping
from typing import Final

import cattrs

from fennelfork.gather import KeyRange, key_range
from fennelfork_bench.backend_server._records import Query, select_records
from fennelfork_bench.checks._base import ExpectedIndex

_CACHE_SIZE: Final = 256


def build_front_truth(keys: int, front_seed: int, newest: int) -> ExpectedIndex:
    """Build the reference data of a front of backend server stand-ins.

    The stamp of a record is its text, which contains the key and the snapshot.

    Args:
        keys: size of the key space.
        front_seed: seed of the records.
        newest: number of the newest snapshot; snapshots start at 1.
    """
    return ExpectedIndex(
        keys=keys,
        snapshots=frozenset(range(1, newest + 1)),
        stamps=functools.partial(
            _compute_stamps, key_range(0, keys), front_seed
        ),
    )


@functools.lru_cache(_CACHE_SIZE)
def _compute_stamps(
    key_space: KeyRange,
    front_seed: int,
    snapshot: int,
    query: str,
) -> Mapping[int, str]:
    parsed_query = cattrs.structure(json.loads(query), Query)
    matches = select_records(front_seed, snapshot, key_space, parsed_query)
    return {record.key: record.text for record in matches}
