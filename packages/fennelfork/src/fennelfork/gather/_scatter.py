"""What goes between the root of a query and the homes of its shards."""

import attrs

from fennelfork._verdict import Failure
from fennelfork.gather._merge import PlannedSubQuery
from fennelfork.gather._partition import ShardView
from fennelfork.gather._reply import Reply


@attrs.frozen(kw_only=True)
class ScatterRequest:
    """The sub-queries of one query that go to one home.

    Attributes:
        snapshot: the index version that every part must be of.
        query: the caller's query as JSON text.
        deadline_ms: what remains of the deadline.
        config_version: the configuration that the root works under.
        level: the part of such requests that the root lets in.
    """

    request_id: str
    front: str
    snapshot: int
    planned: tuple[PlannedSubQuery, ...]
    query: str
    deadline_ms: float
    tenant: str
    traffic_class: str
    config_version: int
    level: float = 1


@attrs.frozen(kw_only=True)
class SubQueryOutcome:
    """What came of one sub-query.

    Attributes:
        planned: the sub-query.
        reply: the reply, if there is one.
        failure: why there is none.
        hedges: second copies that were started.
        retries: copies that were started after a failure.
        queue_ms: how long it waited at the home for a slot.
        server_ms: how long the server that answered took.
        server: name of the backend server that answered.
    """

    planned: PlannedSubQuery
    reply: Reply | None = None
    failure: Failure | None = None
    hedges: int = 0
    retries: int = 0
    queue_ms: float = 0
    server_ms: float = 0
    server: str = ''


@attrs.frozen(kw_only=True)
class ScatterOutcome:
    """The merged message that a home gives back.

    Attributes:
        parts: one for each sub-query of the order.
        shards: what the home knows of the snapshots of the shards asked.
        config_version: the configuration that the home works under.
        level: the part of such requests that the home takes.
    """

    parts: tuple[SubQueryOutcome, ...]
    shards: tuple[ShardView, ...]
    config_version: int
    level: float = 1
