"""Classes of the configuration document."""

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
_MAX_SAFE_INTEGER: Final = 9_007_199_254_740_991  # exact in a JSON number
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
    """Policy that determines the delay before a hedge is sent."""

    NONE = 'none'
    FIXED = 'fixed'
    QUANTILE = 'quantile'


@attrs.frozen(kw_only=True)
class HedgeSettings:
    """Settings for hedges of slow sub-queries.

    Attributes:
        policy: policy that determines the delay before a hedge.
        quantile: quantile of the recent latency of the shard after which the
            `quantile` policy sends a hedge.
        delay_ms: delay of the `fixed` policy, and of the `quantile` policy
            until latency samples exist.
        budget: maximum ratio of hedges to sub-queries.
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
    """A backend server and its limits.

    Attributes:
        address: `ip:port` on which the backend server listens.
        data_centre: name of the data centre of the backend server.
        slots: maximum number of concurrent sub-queries.
        connections: maximum number of connections from all daemons.
        connect_ms: usual time to open a connection.
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
    """A group of backend servers that store the same records."""

    servers: Annotated[Mapping[Name, Server], NonEmpty()]


@attrs.frozen(kw_only=True)
class Front:
    """A search front.

    Attributes:
        keys: size of the key space, which is `[0, keys)`.
        hedge: settings for hedges of slow sub-queries.
        shards: shards of the front by name.
    """

    keys: Annotated[int, WholeNumber(minimum=1, maximum=_MAX_SAFE_INTEGER)]
    hedge: HedgeSettings = HedgeSettings()
    shards: Annotated[Mapping[Name, Shard], NonEmpty()]


@attrs.frozen(kw_only=True)
class Tenant:
    """Weight of a tenant in the weighted sharing of slots."""

    weight: Weight


@attrs.frozen(kw_only=True)
class TrafficClass:
    """Weight of a traffic class in the weighted sharing of slots."""

    weight: Weight


@attrs.frozen(kw_only=True)
class PatchRecord:
    """An accepted patch in the history of the document.

    Attributes:
        id: identifier of the patch, chosen by the operator.
        version: version of the document that the patch produced.
        author: name of the operator who sent the patch.
        at_ms: civil time of the acceptance.
        paths: paths of the changed values.
    """

    id: PatchId
    version: Version
    author: Author
    at_ms: Annotated[int, _SAFE_INTEGER]
    paths: tuple[ChangedPath, ...]


@attrs.frozen(kw_only=True)
class Document:
    """The configuration of the fleet.

    Attributes:
        version: number of accepted patches; zero before the first patch.
        patches: bounded history of accepted patches, oldest first.
        fronts: search fronts by name.
        tenants: tenants by name.
        classes: traffic classes by name.
    """

    version: Version = 0
    patches: tuple[PatchRecord, ...] = ()
    fronts: Mapping[Name, Front] = attrs.field(factory=dict)
    tenants: Mapping[Name, Tenant] = attrs.field(factory=dict)
    classes: Mapping[Name, TrafficClass] = attrs.field(factory=dict)
