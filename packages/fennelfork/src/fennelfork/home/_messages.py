"""What the scheduler of a home is asked, and what it orders."""

from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork._verdict import Failure
from fennelfork.gather._partition import SnapshotView
from fennelfork.gather._range import KeyRange
from fennelfork.home._fair import Flow, Shares
from fennelfork.servers._hedge import HedgePolicy, NoHedge

_QUEUE_LIMIT: Final = 1000


@attrs.frozen(kw_only=True)
class Task:
    """One sub-query or one execution that a home is asked to get done.

    Attributes:
        job: name of it at this home, never used twice.
        request_id: of the caller's request.
        span: the keys that it needs.
        snapshot: the index version that it needs; none if any will do.
        deadline_ms: on the home's clock.
        flow: tenant and class.
        idempotent: whether running it twice does no harm.
        weight: how many offered requests it stands for.
    """

    job: str
    request_id: str
    span: KeyRange
    snapshot: int | None
    deadline_ms: float
    flow: Flow
    idempotent: bool = True
    weight: float = 1


@attrs.frozen(kw_only=True)
class ServerConfig:
    """What the configuration says of one backend server.

    Attributes:
        name: its name in the shard.
        slots: how many requests it runs at once.
        connections: most connections that this daemon opens to it.
    """

    name: str
    slots: int
    connections: int


@attrs.frozen(kw_only=True)
class ServerReport:
    """What a server's health endpoint says; it may lag or lie."""

    cold: bool
    draining: bool
    snapshots: tuple[SnapshotView, ...]


@attrs.frozen(kw_only=True)
class HomeSettings:
    """Policies of one shard at its home.

    Attributes:
        hedge: when a second copy is sent.
        hedge_ratio: extra runs a sub-query.
        retry_ratio: retries a success.
        shares: weights of tenants and classes.
        queue_limit: most sub-queries that wait.
    """

    hedge: HedgePolicy = attrs.field(factory=NoHedge)
    hedge_ratio: float = 0.05
    retry_ratio: float = 0.1
    shares: Shares = attrs.field(factory=Shares)
    queue_limit: int = _QUEUE_LIMIT


@attrs.frozen(kw_only=True)
class Send:
    """Send a copy of the work to a server.

    Attributes:
        attempt: number of the copy, never used twice by one scheduler.
        task: what to send.
        server: where to.
        fresh_connection: open a new connection for it.
    """

    attempt: int
    task: Task
    server: str
    fresh_connection: bool


@attrs.frozen(kw_only=True)
class Cancel:
    """Ask a server to cancel a copy; its slot stays held until it says so.

    Attributes:
        attempt: number of the copy.
        task: as it was sent.
        server: where it was sent.
        suspect: whether not a byte came back in the time of a hedge.
    """

    attempt: int
    task: Task
    server: str
    suspect: bool


@attrs.frozen(kw_only=True)
class TaskStats:
    """What was done for a piece of work."""

    queue_ms: float
    hedges: int
    retries: int


@attrs.frozen(kw_only=True)
class TaskAnswered:
    """The reply of an attempt is the answer of the work."""

    task: Task
    attempt: int
    server: str
    stats: TaskStats


@attrs.frozen(kw_only=True)
class TaskRefused:
    """The work ends without an answer."""

    task: Task
    failure: Failure
    stats: TaskStats


Action = Send | Cancel | TaskAnswered | TaskRefused
Servers = Mapping[str, ServerConfig]
