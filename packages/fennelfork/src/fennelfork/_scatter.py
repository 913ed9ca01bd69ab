"""What goes between the root of a query and the homes of its shards."""

from collections.abc import Sequence

import attrs

from fennelfork._partition import ShardView
from fennelfork._range import KeyRange
from fennelfork._verdict import Failure


@attrs.frozen(kw_only=True)
class SubQuery:
    """The part of a query that goes to one shard."""

    sub_query: str
    shard: str
    span: KeyRange


@attrs.frozen(kw_only=True)
class ScatterOrder:
    """The sub-queries of one query that go to one home.

    Attributes:
        snapshot: the index version that every part must be of.
        query: the caller's query as JSON text.
        deadline_ms: what remains of the deadline.
        config_version: the configuration that the root works under.
    """

    request_id: str
    front: str
    snapshot: int
    sub_queries: tuple[SubQuery, ...]
    query: str
    deadline_ms: float
    tenant: str
    traffic_class: str
    config_version: int


@attrs.frozen(kw_only=True)
class Part:
    """What came of one sub-query.

    Attributes:
        records: the records as a JSON list, empty text if there is a fault.
        count: how many records `records` holds.
        fault: why there are none.
        queue_ms: how long it waited at the home for a slot.
        server_ms: how long the server that answered took.
        server: the backend server that answered.
    """

    sub_query: SubQuery
    snapshot: int
    records: str = ''
    count: int = 0
    fault: Failure | None = None
    hedges: int = 0
    retries: int = 0
    queue_ms: float = 0
    server_ms: float = 0
    server: str = ''


@attrs.frozen(kw_only=True)
class ScatterOutcome:
    """The merged message that a home gives back.

    Attributes:
        shards: what the home knows of the snapshots of the shards asked.
    """

    parts: tuple[Part, ...]
    shards: Sequence[ShardView]
    config_version: int
