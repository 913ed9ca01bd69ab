"""Messages between the root daemon and the home daemons of a query."""

import attrs

from fennelfork._verdict import Failure
from fennelfork.gather._merge import PlannedSubQuery
from fennelfork.gather._partition import ShardView
from fennelfork.gather._reply import Reply


@attrs.frozen(kw_only=True)
class ScatterRequest:
    """Sub-queries of one query for one home daemon.

    Attributes:
        snapshot: index version that all sub-queries read.
        query: query of the caller as JSON text.
        deadline_ms: remaining time until the deadline.
        config_version: active configuration version of the root daemon.
        level: share of such requests that the root daemon admits.
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
    """Reply or failure of one sub-query.

    Attributes:
        planned: planned sub-query.
        reply: valid reply, or `None`.
        failure: failure, or `None` if there is a reply.
        hedges: number of hedges.
        retries: number of retries.
        queue_ms: queueing time at the home daemon.
        server_ms: latency of the backend server that responded.
        server: name of the backend server that responded.
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
    """Outcomes of the sub-queries that one home daemon received.

    Attributes:
        parts: outcome of each sub-query of the request.
        shards: snapshots that the queried shards hold.
        config_version: active configuration version of the home daemon.
        level: share of such requests that the home daemon admits.
    """

    parts: tuple[SubQueryOutcome, ...]
    shards: tuple[ShardView, ...]
    config_version: int
    level: float = 1
