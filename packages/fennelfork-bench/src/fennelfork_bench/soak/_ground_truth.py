"""Expected records of a front, computed without the processes."""

import functools
import json
from collections.abc import Iterable, Mapping
from typing import Final

import cattrs

from fennelfork.gather import key_range
from fennelfork_bench.backend_server._records import Query, select_records
from fennelfork_bench.checks._base import ExpectedIndex

# Default seed of the backend servers of the rig.
_BACKEND_SEED: Final = 1
_MAX_CACHED_RESULTS: Final = 4096


def build_ground_truth(keys: int, snapshots: Iterable[int]) -> ExpectedIndex:
    """Build the expected records of a front that stand-ins serve.

    Args:
        keys: number of keys in the key space.
        snapshots: all snapshot versions that any server has held.
    """
    return ExpectedIndex(
        keys=keys,
        snapshots=frozenset(snapshots),
        stamps=functools.lru_cache(_MAX_CACHED_RESULTS)(
            functools.partial(_compute_stamps, keys),
        ),
    )


def _compute_stamps(keys: int, snapshot: int, query: str) -> Mapping[int, str]:
    parsed_query = cattrs.structure(json.loads(query), Query)
    records = select_records(
        _BACKEND_SEED, snapshot, key_range(0, keys), parsed_query
    )
    # The text of a record contains the key and the snapshot.
    return {record.key: record.text for record in records}
