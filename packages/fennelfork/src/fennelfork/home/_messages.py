"""Inputs and actions of the scheduler of a home daemon."""

from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork._verdict import Failure
from fennelfork.gather._partition import SnapshotView
from fennelfork.gather._range import KeyRange
from fennelfork.servers._hedge import HedgePolicy, NoHedge
from fennelfork.shares import Flow, Shares

_QUEUE_LIMIT: Final = 1000


@attrs.frozen(kw_only=True)
class Task:
    """Sub-query or execution that a home daemon schedules.

    Attributes:
        job: name of the job, unique at this home daemon.
        request_id: id of the request of the caller.
        span: keys that the task reads or writes.
        snapshot: required index version; `None` for any version.
        deadline_ms: deadline on the clock of the home daemon.
        flow: tenant and traffic class.
        idempotent: whether the task may run more than once.
        weight: number of offered requests that the task represents.
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
    """Configuration of one backend server.

    Attributes:
        name: name of the server, unique in the shard.
        slots: number of requests that the server runs concurrently.
        connections: maximum number of connections from this daemon.
        address: address of the server; another address is another process.
    """

    name: str
    slots: int
    connections: int
    address: str = ''


@attrs.frozen(kw_only=True)
class ServerReport:
    """State that a health endpoint reported; it may be outdated or wrong."""

    cold: bool
    draining: bool
    snapshots: tuple[SnapshotView, ...]


@attrs.frozen(kw_only=True)
class HomeSettings:
    """Scheduling policies of one shard.

    Attributes:
        hedge: hedge policy.
        hedge_ratio: number of hedges per sub-query.
        retry_ratio: number of retries per successful attempt.
        shares: weights of tenants and traffic classes.
        queue_limit: maximum number of queued sub-queries.
    """

    hedge: HedgePolicy = attrs.field(factory=NoHedge)
    hedge_ratio: float = 0.05
    retry_ratio: float = 0.1
    shares: Shares = attrs.field(factory=Shares)
    queue_limit: int = _QUEUE_LIMIT


@attrs.frozen(kw_only=True)
class Send:
    """Send an attempt of a task to a backend server.

    Attributes:
        attempt: number of the attempt, unique in the scheduler.
        task: task to send.
        server: name of the backend server.
        fresh_connection: whether a new connection is required.
    """

    attempt: int
    task: Task
    server: str
    fresh_connection: bool


@attrs.frozen(kw_only=True)
class Cancel:
    """Cancel an attempt; the slot is held until the server confirms.

    Attributes:
        attempt: number of the attempt.
        task: task that was sent.
        server: name of the backend server.
        suspect: whether the attempt was slow, so that the connection may be
            unresponsive.
    """

    attempt: int
    task: Task
    server: str
    suspect: bool


@attrs.frozen(kw_only=True)
class TaskStats:
    """Queueing time and extra attempts of a task."""

    queue_ms: float
    hedges: int
    retries: int


@attrs.frozen(kw_only=True)
class TaskAnswered:
    """Report that the response of an attempt is the result of the task."""

    task: Task
    attempt: int
    server: str
    stats: TaskStats


@attrs.frozen(kw_only=True)
class TaskRefused:
    """Report that the task ended with a failure."""

    task: Task
    failure: Failure
    stats: TaskStats


Action = Send | Cancel | TaskAnswered | TaskRefused
Servers = Mapping[str, ServerConfig]
