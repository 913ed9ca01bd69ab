"""Blackboard of one shard at its home daemon."""

import heapq
import random
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork._verdict import Verdict
from fennelfork.gather._partition import SnapshotView
from fennelfork.home._admission import HomeAdmission
from fennelfork.home._messages import (
    HomeSettings,
    ServerConfig,
    ServerReport,
    Task,
    TaskStats,
)
from fennelfork.home._slots import SlotTable
from fennelfork.servers._budget import Budget, budget
from fennelfork.servers._connection import ConnectionLedger
from fennelfork.servers._drain import DrainState
from fennelfork.servers._ejection import EjectionState
from fennelfork.servers._hedge import Latencies, latencies
from fennelfork.servers._rank import ObservedLatency
from fennelfork.shares import FairQueue

_BUDGET_LIMIT: Final = 10.0
_MAX_SHED_BACKOFF_MS: Final = 200.0
_MAX_DOUBLINGS: Final = 8


@attrs.define(kw_only=True)
class ServerState:
    """State of one backend server at the home daemon.

    Attributes:
        config: configuration of the server.
        connections: connections of this daemon to the server.
        snapshots: snapshots that the server reported.
        cold: whether the server reported that it is warming up.
        leaving: whether another source reported that the server is leaving.
        overloaded_until_ms: end of the backoff after a shed attempt.
        consecutive_sheds: number of sheds since the last response.
        drain: refusals and health reports about draining.
    """

    config: ServerConfig
    connections: ConnectionLedger
    snapshots: tuple[SnapshotView, ...] = ()
    cold: bool = False
    leaving: bool = False
    overloaded_until_ms: float = 0
    consecutive_sheds: int = 0
    drain: DrainState = attrs.field(factory=DrainState)
    ejection: EjectionState = attrs.field(factory=EjectionState)
    latency: ObservedLatency = attrs.field(factory=ObservedLatency)
    _lost_snapshots: set[int] = attrs.field(factory=set)

    @property
    def accepts_work(self) -> bool:
        """Whether the server is neither draining nor leaving."""
        return not (self.drain.is_draining or self.leaving)

    def record_shed(self, now_ms: float, service_ms: float) -> None:
        """Back off from the server, for longer after consecutive sheds.

        Sheds during the backoff are not counted.
        """
        if now_ms < self.overloaded_until_ms:
            return
        doubled = 2 ** min(self.consecutive_sheds, _MAX_DOUBLINGS)
        wait_ms = min(_MAX_SHED_BACKOFF_MS, max(1, service_ms) * doubled)
        self.overloaded_until_ms = now_ms + wait_ms
        self.consecutive_sheds += 1

    def record_lost_snapshot(self, version: int | None) -> None:
        """Record that the server lost a snapshot."""
        if version is not None:
            self._lost_snapshots.add(version)
            self._keep_snapshots(self.snapshots)

    def apply_report(self, report: ServerReport) -> None:
        """Apply a health report that more recent refusals do not override."""
        self.drain.record_report(draining=report.draining)
        if report.cold and not self.cold:
            self.ejection.begin_slow_start()
        self.cold = report.cold
        self._lost_snapshots &= {held.version for held in report.snapshots}
        self._keep_snapshots(report.snapshots)

    def _keep_snapshots(self, held: tuple[SnapshotView, ...]) -> None:
        self.snapshots = tuple(
            snapshot
            for snapshot in held
            if snapshot.version not in self._lost_snapshots
        )


@attrs.define(kw_only=True)
class Job:
    """Unfinished task with its attempts."""

    task: Task
    queued_ms: float
    queue_ms: float = 0
    hedges: int = 0
    retries: int = 0
    active_attempts: set[int] = attrs.field(factory=set)
    tried_servers: set[str] = attrs.field(factory=set)
    _failed_verdict: Verdict | None = None

    @property
    def verdict(self) -> Verdict:
        """Verdict on all attempts, including outstanding ones."""
        outstanding = (
            Verdict.MAY_HAVE_RUN if self.active_attempts else Verdict.NOT_RUN
        )
        if self._failed_verdict is None:
            return outstanding
        if self.active_attempts:
            return self._failed_verdict.join(outstanding)
        return self._failed_verdict

    @property
    def stats(self) -> TaskStats:
        """Statistics of the attempts up to now."""
        return TaskStats(
            queue_ms=self.queue_ms,
            hedges=self.hedges,
            retries=self.retries,
        )

    def record_failed_attempt(self, verdict: Verdict) -> None:
        """Add the verdict of an attempt that failed."""
        known = self._failed_verdict
        self._failed_verdict = verdict if known is None else known.join(verdict)


@attrs.define(kw_only=True)
class Attempt:
    """One attempt on a backend server."""

    task: Task
    server: str
    sent_ms: float
    hedge: bool
    cancelled: bool = False


@attrs.frozen(kw_only=True)
class Timer:
    """Timer of a job, of an attempt, or for a dispatch.

    Attributes:
        at_ms: time at which the timer is due.
        is_start_deadline: whether only a job that is still queued is refused.
        job: name of the job; empty if there is none.
        attempt: number of the attempt; zero if there is none.
    """

    at_ms: float
    is_start_deadline: bool = False
    job: str = ''
    attempt: int = 0


@attrs.define(kw_only=True)
class ShardBlackboard:
    """State of one shard that its controllers share."""

    clock: Clock
    rng: random.Random
    settings: HomeSettings
    queue: FairQueue
    admission: HomeAdmission
    hedge_budget: Budget
    retry_budget: Budget
    servers: dict[str, ServerState] = attrs.field(factory=dict)
    slots: SlotTable = attrs.field(factory=SlotTable)
    shard_latencies: Latencies = attrs.field(factory=latencies)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    overdue: dict[int, Attempt] = attrs.field(factory=dict)
    last_attempt: int = 0
    # Sorted by time, then by the order of creation.
    _timers: list[tuple[float, int, Timer]] = attrs.field(factory=list)
    _timer_count: int = 0

    @property
    def next_timer_ms(self) -> float | None:
        """Time of the next timer whose job or attempt has not ended."""
        while self._timers and self._is_obsolete(self._timers[0][-1]):
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def set_timer(self, timer: Timer) -> None:
        """Schedule a timer."""
        self._timer_count += 1
        heapq.heappush(self._timers, (timer.at_ms, self._timer_count, timer))

    def pop_due_timer(self) -> Timer | None:
        """Remove and return the next timer if it is due."""
        next_ms = self.next_timer_ms
        if next_ms is None or next_ms > self.clock.now_ms():
            return None
        return heapq.heappop(self._timers)[-1]

    def _is_obsolete(self, timer: Timer) -> bool:
        """Return whether the job or attempt of a timer has ended."""
        if timer.attempt:
            return timer.attempt not in self.attempts
        return bool(timer.job) and timer.job not in self.jobs


def shard_blackboard(
    settings: HomeSettings, clock: Clock, rng: random.Random
) -> ShardBlackboard:
    """Create the blackboard of a shard without servers."""
    return ShardBlackboard(
        clock=clock,
        rng=rng,
        settings=settings,
        queue=FairQueue(limit=settings.queue_limit, shares=settings.shares),
        admission=HomeAdmission(shares=settings.shares),
        hedge_budget=budget(settings.hedge_ratio, _BUDGET_LIMIT),
        retry_budget=budget(
            settings.retry_ratio,
            _BUDGET_LIMIT,
            initial=_BUDGET_LIMIT,
        ),
    )
