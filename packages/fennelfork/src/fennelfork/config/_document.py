"""The configuration document: what operators set, under one version."""

import enum
from collections.abc import Mapping
from typing import Annotated, Final

import attrs

from fennelfork.config._document_rule import (
    Fraction,
    NonEmpty,
    OneOf,
    SocketAddress,
    Text,
    WholeNumber,
)

_NAME: Final = Text(
    pattern='[A-Za-z0-9][A-Za-z0-9_-]{0,62}',
    description='1 to 63 letters, digits, "-" or "_", the first a letter or digit',
)
_ID: Final = Text(
    pattern='[A-Za-z0-9._:-]{1,64}',
    description='1 to 64 letters, digits, ".", "_", ":" or "-"',
)
_CHANGED_PATH: Final = Text(
    pattern=r'[^\x00-\x1f\x7f]{1,512}',
    description='1 to 512 characters without control characters',
)
_AUTHOR: Final = Text(
    pattern=r'[^\x00-\x1f\x7f]{1,128}',
    description='1 to 128 characters without control characters',
)
_MAX_SAFE_INTEGER: Final = (
    9_007_199_254_740_991  # kept exactly by any JSON reader
)
_MAX_SLOTS: Final = 10_000
_MAX_CONNECTIONS: Final = 100_000
_MAX_DELAY_MS: Final = 60_000
_MAX_QUANTILE: Final = 0.9999

_SAFE_INTEGER: Final = WholeNumber(minimum=0, maximum=_MAX_SAFE_INTEGER)
_DELAY_MS: Final = WholeNumber(minimum=0, maximum=_MAX_DELAY_MS)

Name = Annotated[str, _NAME]
Version = Annotated[int, _SAFE_INTEGER]
PatchId = Annotated[str, _ID]
ChangedPath = Annotated[str, _CHANGED_PATH]
Author = Annotated[str, _AUTHOR]
Weight = Annotated[int, WholeNumber(minimum=1, maximum=1000)]


@enum.unique
class HedgePolicyName(enum.StrEnum):
    """When a second copy of a sub-query may start."""

    NONE = 'none'
    FIXED = 'fixed'
    QUANTILE = 'quantile'


@attrs.frozen(kw_only=True)
class HedgeSettings:
    """Second copies of slow sub-queries.

    Attributes:
        policy: when a second copy may start.
        quantile: share of a shard's own recent latency to wait for.
        delay_ms: wait for `fixed`, and until a quantile is known.
        budget: extra runs a sub-query, as a share.
    """

    policy: Annotated[
        HedgePolicyName, OneOf(choices=tuple(HedgePolicyName))
    ] = HedgePolicyName.QUANTILE
    quantile: Annotated[float, Fraction(minimum=0.5, maximum=_MAX_QUANTILE)] = (
        0.95
    )
    delay_ms: Annotated[int, _DELAY_MS] = 30
    budget: Annotated[float, Fraction(minimum=0, maximum=1)] = 0.05


@attrs.frozen(kw_only=True)
class Server:
    """One backend server and its limits.

    Attributes:
        address: where it listens, `ip:port`.
        data_centre: where it stands.
        slots: sub-queries it runs at once.
        connections: connections it takes from all daemons together.
        connect_ms: what a new connection usually takes.
    """

    address: Annotated[str, SocketAddress()]
    data_centre: Name
    slots: Annotated[int, WholeNumber(minimum=1, maximum=_MAX_SLOTS)]
    connections: Annotated[
        int, WholeNumber(minimum=1, maximum=_MAX_CONNECTIONS)
    ]
    connect_ms: Annotated[int, _DELAY_MS]


@attrs.frozen(kw_only=True)
class Shard:
    """A named group of backend servers that hold the same records."""

    servers: Annotated[Mapping[Name, Server], NonEmpty()]


@attrs.frozen(kw_only=True)
class Front:
    """One search front.

    Attributes:
        keys: the key space is `[0, keys)`.
        hedge: second copies of slow sub-queries.
        shards: its shards by name.
    """

    keys: Annotated[int, WholeNumber(minimum=1, maximum=_MAX_SAFE_INTEGER)]
    hedge: HedgeSettings = HedgeSettings()
    shards: Annotated[Mapping[Name, Shard], NonEmpty()]


@attrs.frozen(kw_only=True)
class Tenant:
    """A tenant's share of slots when tenants compete."""

    weight: Weight


@attrs.frozen(kw_only=True)
class TrafficClass:
    """A traffic class's share of slots when classes compete."""

    weight: Weight


@attrs.frozen(kw_only=True)
class PatchRecord:
    """One accepted patch.

    Attributes:
        id: chosen by the writer; tells whether a write took effect.
        version: the version that this patch made.
        author: who sent it.
        at_ms: civil time of the acceptance.
        paths: what it changed.
    """

    id: PatchId
    version: Version
    author: Author
    at_ms: Annotated[int, _SAFE_INTEGER]
    paths: tuple[ChangedPath, ...]


@attrs.frozen(kw_only=True)
class Document:
    """The whole configuration under one version.

    Attributes:
        version: rises by one with each accepted patch; zero before the first.
        patches: the recent history, oldest first, bounded.
        fronts: search fronts by name.
        tenants: tenants by name.
        classes: traffic classes by name.
    """

    version: Version = 0
    patches: tuple[PatchRecord, ...] = ()
    fronts: Mapping[Name, Front] = attrs.field(factory=dict)
    tenants: Mapping[Name, Tenant] = attrs.field(factory=dict)
    classes: Mapping[Name, TrafficClass] = attrs.field(factory=dict)
