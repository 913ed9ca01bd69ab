"""Experiment `document`: cost of the configuration size for a daemon."""

import gc
import os
import statistics
import time
import zlib
from collections.abc import Callable
from typing import Any, Final

from fennelfork import system_clock
from fennelfork.config import (
    ConfigSource,
    config_state,
    digest,
    parse_document,
    render_document,
    structure_document,
)
from fennelfork_bench.rig._report import Arm, Report
from fennelfork_bench.rig._usage import read_usage

_SERVERS: Final = (30, 310, 3100)
_SERVERS_PER_SHARD: Final = 3
_SHARDS_PER_FRONT: Final = 10
_PATCHES: Final = 64
_SAMPLES: Final = 7
_EPOCH_MS: Final = 1_790_000_000_000
_MS_PER_S: Final = 1000
_BYTES_PER_KB: Final = 1000


def run(seed: int) -> Report:
    """Measure configuration documents with three numbers of servers.

    Args:
        seed: unused seed; the documents do not depend on randomness.
    """
    arms = tuple(_build_arm(servers) for servers in _SERVERS)
    return Report(experiment='document', seed=seed, arms=arms)


def _build_arm(servers: int) -> Arm:
    gc.collect()
    before_mb = read_usage(os.getpid()).resident_mb
    raw = render_document(
        structure_document(build_document_tree(servers)).unwrap()
    )
    state = config_state(system_clock())
    state.offer(raw, ConfigSource.PEER)
    gc.collect()
    after_mb = read_usage(os.getpid()).resident_mb
    return Arm(
        name=f'servers_{servers}',
        metrics={
            'kb': len(raw) / _BYTES_PER_KB,
            'deflated_kb': len(zlib.compress(raw.encode())) / _BYTES_PER_KB,
            'parse_and_check_ms': _median_ms(lambda: parse_document(raw)),
            'render_ms': _median_ms(
                lambda: render_document(state.parsed.document),
            ),
            'digest_ms': _median_ms(lambda: digest(raw)),
            'take_next_ms': _activate_next_ms(build_document_tree(servers)),
            'resident_growth_mb': after_mb - before_mb,
        },
    )


def _activate_next_ms(tree: dict[str, Any]) -> float:
    """Return the time to activate a version in which one front changed."""
    state = config_state(system_clock())
    times_ms = []
    for number in range(_SAMPLES + 1):
        tree['version'] = _PATCHES + number
        tree['fronts']['front-0']['hedge'] = {'delay_ms': number}
        raw = render_document(structure_document(tree).unwrap())
        started_s = time.process_time()
        state.offer(raw, ConfigSource.PEER)
        times_ms.append((time.process_time() - started_s) * _MS_PER_S)
    return statistics.median(times_ms[1:])


def build_document_tree(servers: int) -> dict[str, Any]:
    """Build a configuration document with a full patch history.

    Args:
        servers: number of backend servers, three for each shard.
    """
    shards = max(1, servers // _SERVERS_PER_SHARD)
    fronts = max(1, shards // _SHARDS_PER_FRONT)
    return {
        'version': _PATCHES,
        'patches': [_build_patch(number) for number in range(1, _PATCHES + 1)],
        'fronts': {
            f'front-{number}': {
                'keys': 1_000_000,
                'shards': _build_shards(shards // fronts),
            }
            for number in range(fronts)
        },
    }


def _build_shards(count: int) -> dict[str, Any]:
    return {f'shard-{number}': _build_shard(number) for number in range(count)}


def _build_shard(number: int) -> dict[str, Any]:
    return {
        'servers': {
            f'server-{number}-{index}': {
                'address': f'10.20.{number}.{index + 1}:9000',
                'data_centre': f'dc-{index + 1}',
                'slots': 5,
                'connections': 40,
                'connect_ms': 6,
            }
            for index in range(_SERVERS_PER_SHARD)
        },
    }


def _build_patch(number: int) -> dict[str, Any]:
    return {
        'id': f'patch-{number:020}',
        'version': number,
        'author': 'operator@example',
        'at_ms': _EPOCH_MS + number,
        'paths': [f'fronts.front-{number}.hedge.delay_ms'],
    }


def _median_ms(action: Callable[[], Any]) -> float:
    times_ms = []
    for _ in range(_SAMPLES):
        started_s = time.process_time()
        action()
        times_ms.append((time.process_time() - started_s) * _MS_PER_S)
    return statistics.median(times_ms)
