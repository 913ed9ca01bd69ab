"""Fleet of the demo, with one front for each deployment of the brief."""

from typing import Final

from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
    shard_spec,
)

KEYS: Final = 1000
SALVARE_FRONT: Final = 'certificate-registry'
CEDOLE_FRONT: Final = 'payout-register'
SALVARE: Final = 'salvare-pe-ape'
CEDOLE: Final = 'cedole-trinacria'
_HALF: Final = KEYS // 2
_ENTRY_TTL_MS: Final = 2000
_STRAGGLER_SHARE: Final = 0.01
_HEDGE: Final = {'policy': 'quantile', 'quantile': 0.95, 'delay_ms': 30}


def demo_fleet(seed: int) -> FleetSpec:
    """Build the specification of two fronts and three daemons.

    In each front the lower half of the keys has two replicas and the upper
    half has one, so that only the loss of the latter reduces coverage.

    Args:
        seed: seed of the service times.
    """
    return FleetSpec(
        fronts=(
            _build_front(SALVARE_FRONT, 'certificate', seed),
            _build_front(CEDOLE_FRONT, 'payout', seed),
        ),
        daemons=daemon_specs(
            3,
            tables={'timeouts': {'entry_ttl_ms': _ENTRY_TTL_MS}},
        ),
    )


def _build_front(name: str, stem: str, seed: int) -> FrontSpec:
    shards: tuple[ShardSpec, ...] = (
        shard_spec(f'{stem}-low', 2, _build_server(0, _HALF, seed)),
        shard_spec(f'{stem}-high', 1, _build_server(_HALF, KEYS, seed)),
    )
    return FrontSpec(name=name, keys=KEYS, shards=shards, hedge=dict(_HEDGE))


def _build_server(lo: int, hi: int, seed: int) -> BackendSpec:
    return BackendSpec(
        name='',
        lo=lo,
        hi=hi,
        keys=KEYS,
        straggle=_STRAGGLER_SHARE,
        seed=seed,
    )
