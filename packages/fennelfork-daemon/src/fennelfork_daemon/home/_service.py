"""Home service: assigns the slots of the servers of shards to sub-queries."""

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
from fennelfork.home import ServerStatus, Task, TaskStats
from fennelfork.shares import Flow
from fennelfork_daemon.home._runners import ShardName, ShardRunners
from fennelfork_daemon.home._tasks import (
    RunnableTask,
    SearchRequest,
    TaskOutcome,
)
from fennelfork_daemon.metrics._metrics import DaemonMetrics
from fennelfork_daemon.settings._tables import LimitSettings

_UNKNOWN_SHARD: Final = not_run(
    FailureCode.NO_SERVER,
    'the shard is not in the configuration of the home daemon',
)


@attrs.define(kw_only=True)
class _OutcomeCollector:
    """Collects the outcomes of the sub-queries of one scatter request."""

    expected_count: int
    parts: list[SubQueryOutcome] = attrs.field(factory=list)
    _completed: eventlet.event.Event = attrs.field(
        factory=eventlet.event.Event,
    )

    def add(self, part: SubQueryOutcome) -> None:
        """Add the outcome of a sub-query, exactly once per sub-query."""
        self.parts.append(part)
        if len(self.parts) == self.expected_count:
            self._completed.send()

    def wait(self) -> tuple[SubQueryOutcome, ...]:
        """Wait for all outcomes, which the scheduler bounds by the deadline."""
        if self.expected_count:
            self._completed.wait()
        return tuple(self.parts)


@attrs.define(kw_only=True)
class HomeService:
    """Runs sub-queries on the backend servers of shards."""

    _blackboard: Blackboard
    _clock: Clock
    _runners: ShardRunners
    _serials: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def server_statuses(
        self,
    ) -> dict[tuple[str, str], tuple[ServerStatus, ...]]:
        """Statuses of the servers of each active shard, by front and shard."""
        return self._runners.server_statuses

    def scatter(self, request: ScatterRequest) -> ScatterOutcome:
        """Run the sub-queries of `request` within its deadline."""
        deadline_ms = self._clock.now_ms() + request.deadline_ms
        collector = _OutcomeCollector(expected_count=len(request.planned))
        query = json.loads(request.query)
        for planned in request.planned:
            task = self._build_task(request, planned, deadline_ms)
            search = SearchRequest(expected=planned.expected, query=query)
            self._start_task(request.front, planned, task, search, collector)
        parts = collector.wait()
        shards = sorted({each.shard for each in request.planned})
        return ScatterOutcome(
            parts=parts,
            shards=self._read_views(request.front, shards),
            config_version=self._blackboard.config_version,
            level=self._find_lowest_level(request, shards),
        )

    def describe(
        self,
        front: str,
        shards: tuple[str, ...],
    ) -> tuple[ShardView, ...]:
        """Return the snapshots and ranges that the shards hold."""
        pool = eventlet.GreenPool()
        names = [ShardName(front=front, shard=shard) for shard in shards]
        for _ in pool.imap(self._runners.get_runner, names):
            """Wait until each runner has polled its servers."""
        return self._read_views(front, shards)

    def poll_forever(self) -> None:
        """Poll the health endpoints of the servers in use periodically."""
        self._runners.poll_forever()

    def _read_views(
        self,
        front: str,
        shards: Iterable[str],
    ) -> tuple[ShardView, ...]:
        views = []
        for shard in shards:
            runner = self._runners.get_runner(
                ShardName(front=front, shard=shard)
            )
            if runner is not None:
                views.append(runner.scheduler.servers.build_view(shard))
        return tuple(views)

    def _build_task(
        self,
        request: ScatterRequest,
        planned: PlannedSubQuery,
        deadline_ms: float,
    ) -> Task:
        return Task(
            job=str(next(self._serials)),
            request_id=request.request_id,
            span=planned.expected.span,
            snapshot=request.snapshot,
            deadline_ms=deadline_ms,
            flow=flow_for(request),
            weight=1 / request.level,
        )

    def _find_lowest_level(
        self, request: ScatterRequest, shards: list[str]
    ) -> float:
        """Return the lowest admission level of the requested shards."""
        names = [ShardName(front=request.front, shard=each) for each in shards]
        runners = [self._runners.get_runner(name) for name in names]
        flow = flow_for(request)
        return min(
            (runner.scheduler.level(flow) for runner in runners if runner),
            default=1,
        )

    def _start_task(
        self,
        front: str,
        planned: PlannedSubQuery,
        task: Task,
        search: SearchRequest,
        collector: _OutcomeCollector,
    ) -> None:
        runner = self._runners.get_runner(
            ShardName(front=front, shard=planned.shard)
        )
        if runner is None:
            collector.add(
                SubQueryOutcome(planned=planned, failure=_UNKNOWN_SHARD)
            )
            return
        runnable = RunnableTask(
            name=planned.expected.sub_query,
            task=task,
            search=search,
            on_done=lambda outcome: collector.add(
                _sub_query_outcome(planned, outcome)
            ),
        )
        runner.run(runnable)


def flow_for(request: ScatterRequest) -> Flow:
    """Return the flow to whose share of the slots a request counts."""
    return Flow(tenant=request.tenant, traffic_class=request.traffic_class)


def home_service(
    blackboard: Blackboard,
    clock: Clock,
    limits: LimitSettings,
    metrics: DaemonMetrics,
) -> HomeService:
    """Build the service that schedules the sub-queries of shards.

    Args:
        blackboard: facts that the components of the daemon share.
        clock: clock of the daemon.
        limits: limits on queues and reply sizes.
        metrics: counters for failed attempts.
    """
    runners = ShardRunners(
        blackboard=blackboard,
        clock=clock,
        limits=limits,
        metrics=metrics,
    )
    return HomeService(blackboard=blackboard, clock=clock, runners=runners)


def _sub_query_outcome(
    planned: PlannedSubQuery, outcome: TaskOutcome
) -> SubQueryOutcome:
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
