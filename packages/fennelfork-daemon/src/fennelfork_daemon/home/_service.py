"""The home of some shards: hands out their servers' slots."""

import itertools
import json
from collections.abc import Iterable, Iterator
from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard, Clock, FailureCode, not_run
from fennelfork.gather import (
    PlannedSubQuery,
    ScatterOutcome,
    ScatterRequest,
    ShardView,
    SubQueryOutcome,
)
from fennelfork.home import Flow, ServerStatus, Task, TaskStats
from fennelfork_daemon.home._orders import Errand, Outcome, SearchOrder
from fennelfork_daemon.home._runners import HomeRunners, ShardName
from fennelfork_daemon.metrics._metrics import DaemonMetrics
from fennelfork_daemon.settings._tables import LimitSettings

_UNKNOWN: Final = not_run(
    FailureCode.NO_SERVER,
    'the shard is not configured at this home',
)


@attrs.define(kw_only=True)
class _Gathering:
    """Waits for the parts of one order."""

    awaited: int
    parts: list[SubQueryOutcome] = attrs.field(factory=list)
    _full: eventlet.event.Event = attrs.field(
        factory=eventlet.event.Event,
    )

    def take(self, part: SubQueryOutcome) -> None:
        """Take one part; each sub-query gives just one."""
        self.parts.append(part)
        if len(self.parts) == self.awaited:
            self._full.send()

    def wait(self) -> tuple[SubQueryOutcome, ...]:
        """Wait for all parts; the scheduler ends each by the deadline."""
        if self.awaited:
            self._full.wait()
        return tuple(self.parts)


@attrs.define(kw_only=True)
class HomeService:
    """Runs sub-queries on the servers of shards."""

    _board: Blackboard
    _clock: Clock
    _runners: HomeRunners
    _serials: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def sights(self) -> dict[tuple[str, str], tuple[ServerStatus, ...]]:
        """The servers of each shard that this daemon is the home of."""
        return self._runners.sights

    def scatter(self, order: ScatterRequest) -> ScatterOutcome:
        """Run the sub-queries of `order`, within its deadline."""
        deadline_ms = self._clock.now_ms() + order.deadline_ms
        gathering = _Gathering(awaited=len(order.planned))
        query = json.loads(order.query)
        for planned in order.planned:
            task = self._task(order, planned, deadline_ms)
            search = SearchOrder(expected=planned.expected, query=query)
            self._start(order.front, planned, task, search, gathering)
        parts = gathering.wait()
        shards = sorted({asked.shard for asked in order.planned})
        return ScatterOutcome(
            parts=parts,
            shards=self._views(order.front, shards),
            config_version=self._board.config_version,
            level=self._level(order, shards),
        )

    def describe(
        self,
        front: str,
        shards: tuple[str, ...],
    ) -> tuple[ShardView, ...]:
        """Tell which snapshots and ranges the shards hold."""
        pool = eventlet.GreenPool()
        names = [ShardName(front=front, shard=shard) for shard in shards]
        for _ in pool.imap(self._runners.of, names):
            """Each runner learns what its servers hold."""
        return self._views(front, shards)

    def poll_forever(self) -> None:
        """Read the health endpoints of the servers in use."""
        self._runners.poll_forever()

    def _views(
        self,
        front: str,
        shards: Iterable[str],
    ) -> tuple[ShardView, ...]:
        views = []
        for shard in shards:
            runner = self._runners.of(ShardName(front=front, shard=shard))
            if runner is not None:
                views.append(runner.scheduler.servers.view(shard))
        return tuple(views)

    def _task(
        self,
        order: ScatterRequest,
        planned: PlannedSubQuery,
        deadline_ms: float,
    ) -> Task:
        return Task(
            job=str(next(self._serials)),
            request_id=order.request_id,
            span=planned.expected.span,
            snapshot=order.snapshot,
            deadline_ms=deadline_ms,
            flow=flow_of(order),
            weight=1 / order.level,
        )

    def _level(self, order: ScatterRequest, shards: list[str]) -> float:
        """Give the lowest level of the shards that were asked."""
        names = [ShardName(front=order.front, shard=each) for each in shards]
        runners = [self._runners.of(name) for name in names]
        flow = flow_of(order)
        return min(
            (runner.scheduler.level(flow) for runner in runners if runner),
            default=1,
        )

    def _start(
        self,
        front: str,
        planned: PlannedSubQuery,
        task: Task,
        search: SearchOrder,
        gathering: _Gathering,
    ) -> None:
        runner = self._runners.of(ShardName(front=front, shard=planned.shard))
        if runner is None:
            gathering.take(SubQueryOutcome(planned=planned, failure=_UNKNOWN))
            return
        errand = Errand(
            name=planned.expected.sub_query,
            task=task,
            order=search,
            done=lambda outcome: gathering.take(_part(planned, outcome)),
        )
        runner.run(errand)


def flow_of(order: ScatterRequest) -> Flow:
    """Tell whose share of the slots an order counts towards."""
    return Flow(tenant=order.tenant, traffic_class=order.traffic_class)


def home_service(
    board: Blackboard,
    clock: Clock,
    limits: LimitSettings,
    metrics: DaemonMetrics,
) -> HomeService:
    """Build the home side of a daemon.

    Args:
        board: the facts of the daemon.
        clock: its clock.
        limits: what bounds its memory.
        metrics: counts what servers shed or answered wrongly.
    """
    runners = HomeRunners(
        board=board,
        clock=clock,
        limits=limits,
        metrics=metrics,
    )
    return HomeService(board=board, clock=clock, runners=runners)


def _part(planned: PlannedSubQuery, outcome: Outcome) -> SubQueryOutcome:
    stats: TaskStats = outcome.stats
    return SubQueryOutcome(
        planned=planned,
        reply=outcome.result.value_or(None),
        failure=outcome.result.swap().value_or(None),
        hedges=stats.hedges,
        retries=stats.retries,
        queue_ms=stats.queue_ms,
        server_ms=outcome.server_ms,
        server=outcome.server,
    )
