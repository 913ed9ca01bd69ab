"""The truth of the records, computed apart from every process."""

import functools
import json
from collections.abc import Iterable, Mapping
from typing import Final

import cattrs

from fennelfork.gather import key_range
from fennelfork_bench.backend_server._records import Query, select_records
from fennelfork_bench.checks._base import Truth

# Every backend server of the rig has this seed unless told otherwise.
_FRONT_SEED: Final = 1
_CACHED: Final = 4096


def index_truth(keys: int, snapshots: Iterable[int]) -> Truth:
    """Build the truth of a front whose records the stand-ins compute.

    Args:
        keys: size of its key space.
        snapshots: every version that any server ever held.
    """
    return Truth(
        keys=keys,
        snapshots=frozenset(snapshots),
        stamps=functools.lru_cache(_CACHED)(
            functools.partial(_stamps, keys),
        ),
    )


def _stamps(keys: int, snapshot: int, query: str) -> Mapping[int, str]:
    wanted = cattrs.structure(json.loads(query), Query)
    records = select_records(_FRONT_SEED, snapshot, key_range(0, keys), wanted)
    # The text of a record names its key and its snapshot.
    return {record.key: record.text for record in records}
