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
    Effort,
    HomeSettings,
    ServerFacts,
    ServerReport,
    Task,
)
from fennelfork.home._queue import FairQueue
from fennelfork.home._slots import SlotTable
from fennelfork.servers._budget import Budget, budget
from fennelfork.servers._connection import ConnectionLedger
from fennelfork.servers._ejection import Standing
from fennelfork.servers._hedge import Latencies, latencies
from fennelfork.servers._rank import ObservedLatency

_BUDGET_LIMIT: Final = 10.0
_LONGEST_FULL_MS: Final = 200.0
_MOST_DOUBLED: Final = 8


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

    facts: ServerFacts
    connections: ConnectionLedger
    snapshots: tuple[SnapshotView, ...] = ()
    draining: bool = False
    cold: bool = False
    leaving: bool = False
    full_until_ms: float = 0
    sheds_in_row: int = 0
    standing: Standing = attrs.field(factory=Standing)
    latency: ObservedLatency = attrs.field(factory=ObservedLatency)
    _refuses_until_ms: float = 0
    _lost: set[int] = attrs.field(factory=set)

    @property
    def staying(self) -> bool:
        """Whether it may get new work at all."""
        return not (self.draining or self.leaving)

    def shed(self, now_ms: float, service_ms: float) -> None:
        """Leave it alone for a service time, longer if it goes on so.

        Copies sent together are shed together and count once.
        """
        if now_ms < self.full_until_ms:
            return
        doubled = 2 ** min(self.sheds_in_row, _MOST_DOUBLED)
        wait_ms = min(_LONGEST_FULL_MS, max(1, service_ms) * doubled)
        self.full_until_ms = now_ms + wait_ms
        self.sheds_in_row += 1

    def refuse_until(self, at_ms: float) -> None:
        """Note that it refuses work as it drains, whatever it reports."""
        self.draining = True
        self._refuses_until_ms = at_ms

    def lose(self, version: int | None) -> None:
        """Note that a snapshot is gone, whatever it reports."""
        if version is not None:
            self._lost.add(version)
            self._keep_snapshots(self.snapshots)

    def report(self, report: ServerReport, now_ms: float) -> None:
        """Take what its health endpoint says, as far as it is believed."""
        self.draining = report.draining or now_ms < self._refuses_until_ms
        if report.cold and not self.cold:
            self.standing.warm_up()
        self.cold = report.cold
        self._lost &= {held.version for held in report.snapshots}
        self._keep_snapshots(report.snapshots)

    def _keep_snapshots(self, held: tuple[SnapshotView, ...]) -> None:
        self.snapshots = tuple(
            snapshot for snapshot in held if snapshot.version not in self._lost
        )


@attrs.define(kw_only=True)
class Job:
    """A piece of work that has no answer yet."""

    task: Task
    queued_ms: float
    queue_ms: float = 0
    hedges: int = 0
    retries: int = 0
    active: set[int] = attrs.field(factory=set)
    tried: set[str] = attrs.field(factory=set)
    _ended: Verdict | None = None

    @property
    def verdict(self) -> Verdict:
        """Whether any copy ran; those still under way may have run."""
        under_way = Verdict.MAY_HAVE_RUN if self.active else Verdict.NOT_RUN
        if self._ended is None:
            return under_way
        if self.active:
            return self._ended.join(under_way)
        return self._ended

    @property
    def effort(self) -> Effort:
        """What was done for it up to now."""
        return Effort(
            queue_ms=self.queue_ms,
            hedges=self.hedges,
            retries=self.retries,
        )

    def ended(self, verdict: Verdict) -> None:
        """Note whether a copy that has ended without a reply ran."""
        known = self._ended
        self._ended = verdict if known is None else known.join(verdict)


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
    start_by: bool = False
    job: str = ''
    attempt: int = 0


@attrs.define(kw_only=True)
class Board:
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
    seen: Latencies = attrs.field(factory=latencies)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    overdue: dict[int, Attempt] = attrs.field(factory=dict)
    last_attempt: int = 0
    # By time, then in the order they were set: tuples compare fast.
    _timers: list[tuple[float, int, Timer]] = attrs.field(factory=list)
    _timers_set: int = 0

    @property
    def next_timer_ms(self) -> float | None:
        """When the next timer is due that still has something to look at."""
        while self._timers and self._is_idle(self._timers[0][-1]):
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def set_timer(self, timer: Timer) -> None:
        """Have something looked at later."""
        self._timers_set += 1
        heapq.heappush(self._timers, (timer.at_ms, self._timers_set, timer))

    def due_timer(self) -> Timer | None:
        """Take the next timer, if its time has come."""
        next_ms = self.next_timer_ms
        if next_ms is None or next_ms > self.clock.now_ms():
            return None
        return heapq.heappop(self._timers)[-1]

    def _is_idle(self, timer: Timer) -> bool:
        """Tell whether what a timer was set for has ended meanwhile."""
        if timer.attempt:
            return timer.attempt not in self.attempts
        return bool(timer.job) and timer.job not in self.jobs


def board(settings: HomeSettings, clock: Clock, rng: random.Random) -> Board:
    """Build the state of a shard without servers."""
    return Board(
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
