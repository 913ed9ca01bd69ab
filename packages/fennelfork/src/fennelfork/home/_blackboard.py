"""Blackboard of one shard at its home; the controllers read and write it."""

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
from fennelfork.home._queue import FairQueue
from fennelfork.home._slots import SlotTable
from fennelfork.servers._budget import Budget, budget
from fennelfork.servers._connection import ConnectionLedger
from fennelfork.servers._ejection import Standing
from fennelfork.servers._hedge import Latencies, latencies
from fennelfork.servers._rank import ObservedLatency

_BUDGET_LIMIT: Final = 10.0
_MAX_SHED_BACKOFF_MS: Final = 200.0
_MAX_DOUBLINGS: Final = 8


@attrs.define(kw_only=True)
class ServerState:
    """What the home knows of one server.

    Attributes:
        facts: from the configuration.
        connections: this daemon's connections to it.
        snapshots: what it holds, by its own word.
        draining: whether it said so itself.
        cold: whether it reported that it warms up.
        leaving: whether another source said that it leaves.
        full_until_ms: it shed work although a slot counted as free.
        sheds_in_row: how often it did, without a reply in between.
    """

    config: ServerConfig
    connections: ConnectionLedger
    snapshots: tuple[SnapshotView, ...] = ()
    draining: bool = False
    cold: bool = False
    leaving: bool = False
    overloaded_until_ms: float = 0
    consecutive_sheds: int = 0
    ejection: Standing = attrs.field(factory=Standing)
    latency: ObservedLatency = attrs.field(factory=ObservedLatency)
    _draining_until_ms: float = 0
    _lost_snapshots: set[int] = attrs.field(factory=set)

    @property
    def accepts_work(self) -> bool:
        """Whether it may get new work at all."""
        return not (self.draining or self.leaving)

    def record_shed(self, now_ms: float, service_ms: float) -> None:
        """Leave it alone for a service time, longer if it goes on so.

        Copies sent together are shed together and count once.
        """
        if now_ms < self.overloaded_until_ms:
            return
        doubled = 2 ** min(self.consecutive_sheds, _MAX_DOUBLINGS)
        wait_ms = min(_MAX_SHED_BACKOFF_MS, max(1, service_ms) * doubled)
        self.overloaded_until_ms = now_ms + wait_ms
        self.consecutive_sheds += 1

    def mark_draining_until(self, at_ms: float) -> None:
        """Note that it refuses work as it drains, whatever it reports."""
        self.draining = True
        self._draining_until_ms = at_ms

    def record_lost_snapshot(self, version: int | None) -> None:
        """Note that a snapshot is gone, whatever it reports."""
        if version is not None:
            self._lost_snapshots.add(version)
            self._keep_snapshots(self.snapshots)

    def apply_report(self, report: ServerReport, now_ms: float) -> None:
        """Take what its health endpoint says, as far as it is believed."""
        self.draining = report.draining or now_ms < self._draining_until_ms
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
    """A piece of work that has no answer yet."""

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
        """Whether any copy ran; those still under way may have run."""
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
        """What was done for it up to now."""
        return TaskStats(
            queue_ms=self.queue_ms,
            hedges=self.hedges,
            retries=self.retries,
        )

    def record_failed_attempt(self, verdict: Verdict) -> None:
        """Note whether a copy that has ended without a reply ran."""
        known = self._failed_verdict
        self._failed_verdict = verdict if known is None else known.join(verdict)


@attrs.define(kw_only=True)
class Attempt:
    """One copy that was sent to a server."""

    task: Task
    server: str
    sent_ms: float
    hedge: bool
    cancelled: bool = False


@attrs.frozen(kw_only=True)
class Timer:
    """Something to look at when its time has come.

    Attributes:
        at_ms: the time.
        start_by: a job that has no slot yet is refused now.
        job: the job to look at, if any.
        attempt: the attempt to look at, if any.
    """

    at_ms: float
    is_start_deadline: bool = False
    job: str = ''
    attempt: int = 0


@attrs.define(kw_only=True)
class ShardBlackboard:
    """The state of one shard at its home."""

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
    # By time, then in the order they were set: tuples compare fast.
    _timers: list[tuple[float, int, Timer]] = attrs.field(factory=list)
    _timer_count: int = 0

    @property
    def next_timer_ms(self) -> float | None:
        """When the next timer is due that still has something to look at."""
        while self._timers and self._is_obsolete(self._timers[0][-1]):
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def set_timer(self, timer: Timer) -> None:
        """Have something looked at later."""
        self._timer_count += 1
        heapq.heappush(self._timers, (timer.at_ms, self._timer_count, timer))

    def pop_due_timer(self) -> Timer | None:
        """Take the next timer, if its time has come."""
        next_ms = self.next_timer_ms
        if next_ms is None or next_ms > self.clock.now_ms():
            return None
        return heapq.heappop(self._timers)[-1]

    def _is_obsolete(self, timer: Timer) -> bool:
        """Tell whether what a timer was set for has ended meanwhile."""
        if timer.attempt:
            return timer.attempt not in self.attempts
        return bool(timer.job) and timer.job not in self.jobs


def shard_blackboard(
    settings: HomeSettings, clock: Clock, rng: random.Random
) -> ShardBlackboard:
    """Build the state of a shard without servers."""
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
