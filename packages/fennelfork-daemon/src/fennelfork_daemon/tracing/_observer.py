"""Counts and remembers finished requests."""

from typing import Any

import attrs

from fennelfork import Blackboard, Clock, Failure, Verdict
from fennelfork.gather import QueryAnswer, QueryRequest
from fennelfork_daemon._state_watch import StateWatch, state_watch
from fennelfork_daemon.metrics._labels import Labels
from fennelfork_daemon.metrics._metrics import (
    DaemonMetrics,
    FrontWork,
    QueryFacts,
    daemon_metrics,
)
from fennelfork_daemon.settings._tables import LimitSettings
from fennelfork_daemon.tracing._trace import (
    ExplainRing,
    RequestTrace,
    request_trace,
)


@attrs.frozen(kw_only=True)
class Observer:
    """Sees each request of callers begin and end.

    Attributes:
        metrics: what operators scrape.
        ring: what `explain` reads.
        watch: logs changes of facts.
        board: the facts of the daemon.
        clock: its clock.
    """

    metrics: DaemonMetrics
    ring: ExplainRing
    watch: StateWatch
    board: Blackboard
    clock: Clock

    def began(self) -> RequestTrace:
        """Begin the trace of a request that was just read."""
        return request_trace(self.clock)

    def answered(
        self,
        query: QueryRequest,
        answered: QueryAnswer,
        trace: RequestTrace,
    ) -> None:
        """Count and remember a query that was answered, whole or partly."""
        coverage = answered.answer.coverage
        work = answered.work
        code = 'complete' if coverage.complete else 'partial'
        labels = self._count(query, trace, Verdict.RAN, code)
        self.metrics.observe_query(
            QueryFacts(
                labels=labels,
                took_ms=trace.took_ms,
                queue_ms=trace.longest_queue_ms,
                fraction=coverage.fraction,
                sub_queries=work.sub_queries,
                extra_runs=work.hedges + work.retries,
            ),
        )
        self._remember(
            query,
            trace,
            {
                'outcome': code,
                'verdict': Verdict.RAN.value,
                'snapshot': answered.answer.snapshot,
                'config_version': answered.config_version,
                'coverage': coverage.fraction,
                'work': attrs.asdict(work),
            },
        )

    def refused(
        self,
        query: QueryRequest,
        failure: Failure,
        trace: RequestTrace,
    ) -> None:
        """Count and remember a query that failed."""
        code = failure.code.value
        self._count(query, trace, failure.verdict, code)
        self._remember(
            query,
            trace,
            {
                'outcome': code,
                'verdict': failure.verdict.value,
                'detail': failure.detail,
            },
        )

    def _count(
        self,
        query: QueryRequest,
        trace: RequestTrace,
        verdict: Verdict,
        code: str,
    ) -> Labels:
        # A front may be asked before anything else looked at its patch.
        self.metrics.follow(self.board.document)
        labels = self.metrics.labels(
            query.front,
            query.tenant,
            query.traffic_class,
        )
        self.metrics.count_answer(labels, verdict, code)
        work = FrontWork(
            front=query.front,
            hedges=trace.hedges,
            retries=trace.retries,
        )
        self.metrics.count_work(work)
        return labels

    def _remember(
        self,
        query: QueryRequest,
        trace: RequestTrace,
        outcome: dict[str, Any],
    ) -> None:
        story = {
            'request_id': query.request_id,
            'daemon': self.board.local.name,
            'front': query.front,
            'tenant': query.tenant,
            'class': query.traffic_class,
            **outcome,
            'took_ms': round(trace.took_ms, 1),
            'queue_ms': round(trace.longest_queue_ms, 1),
            'slowest': _slowest(trace),
            'events': trace.events,
            'events_left_out': trace.left_out,
        }
        self.ring.remember(query.request_id, story)


def observer(
    board: Blackboard,
    clock: Clock,
    limits: LimitSettings,
) -> Observer:
    """Build the observer of a daemon."""
    metrics = daemon_metrics(limits.label_values)
    return Observer(
        board=board,
        metrics=metrics,
        watch=state_watch(board, metrics),
        ring=ExplainRing(most=limits.explain_entries),
        clock=clock,
    )


def _slowest(trace: RequestTrace) -> dict[str, Any] | None:
    part = trace.slowest
    if part is None:
        return None
    return {
        'shard': part.planned.shard,
        'server': part.server,
        'server_ms': round(part.server_ms, 1),
    }
