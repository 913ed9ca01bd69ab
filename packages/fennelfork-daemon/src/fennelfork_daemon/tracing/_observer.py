"""Metrics and traces of finished requests."""

from typing import Any

import attrs

from fennelfork import Blackboard, Clock, Failure, Verdict
from fennelfork.gather import QueryAnswer, QueryRequest
from fennelfork_daemon._state_watch import StateWatch, state_watch
from fennelfork_daemon.metrics._labels import Labels
from fennelfork_daemon.metrics._metrics import (
    DaemonMetrics,
    FrontAttempts,
    QuerySample,
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
    """Records metrics and traces of the requests of callers.

    Attributes:
        metrics: metrics of the daemon.
        ring: stored traces of the latest requests.
        watch: log of changes of the blackboard.
        blackboard: facts that the components of the daemon share.
        clock: clock of the daemon.
    """

    metrics: DaemonMetrics
    ring: ExplainRing
    watch: StateWatch
    blackboard: Blackboard
    clock: Clock

    def start_trace(self) -> RequestTrace:
        """Start the trace of a request."""
        return request_trace(self.clock)

    def record_answer(
        self,
        query: QueryRequest,
        query_answer: QueryAnswer,
        trace: RequestTrace,
    ) -> None:
        """Record a query with a complete or partial answer."""
        coverage = query_answer.answer.coverage
        work = query_answer.work
        code = 'complete' if coverage.complete else 'partial'
        labels = self._record_metrics(query, trace, Verdict.RAN, code)
        self.metrics.observe_query(
            QuerySample(
                labels=labels,
                took_ms=trace.took_ms,
                queue_ms=trace.longest_queue_ms,
                fraction=coverage.fraction,
                sub_queries=work.sub_queries,
                extra_attempts=work.hedges + work.retries,
            ),
        )
        self._store_entry(
            query,
            trace,
            {
                'outcome': code,
                'verdict': Verdict.RAN.value,
                'snapshot': query_answer.answer.snapshot,
                'config_version': query_answer.config_version,
                'coverage': coverage.fraction,
                'work': attrs.asdict(work),
            },
        )

    def record_failure(
        self,
        query: QueryRequest,
        failure: Failure,
        trace: RequestTrace,
    ) -> None:
        """Record a query that failed."""
        code = failure.code.value
        self._record_metrics(query, trace, failure.verdict, code)
        self._store_entry(
            query,
            trace,
            {
                'outcome': code,
                'verdict': failure.verdict.value,
                'detail': failure.detail,
            },
        )

    def _record_metrics(
        self,
        query: QueryRequest,
        trace: RequestTrace,
        verdict: Verdict,
        code: str,
    ) -> Labels:
        # A query may arrive before the state watch has seen a new front.
        self.metrics.apply_configuration(self.blackboard.document)
        labels = self.metrics.labels(
            query.front,
            query.tenant,
            query.traffic_class,
        )
        self.metrics.count_answer(labels, verdict, code)
        attempts = FrontAttempts(
            front=query.front,
            hedges=trace.hedges,
            retries=trace.retries,
        )
        self.metrics.count_attempts(attempts)
        return labels

    def _store_entry(
        self,
        query: QueryRequest,
        trace: RequestTrace,
        outcome_fields: dict[str, Any],
    ) -> None:
        entry = {
            'request_id': query.request_id,
            'daemon': self.blackboard.local.name,
            'front': query.front,
            'tenant': query.tenant,
            'class': query.traffic_class,
            **outcome_fields,
            'took_ms': round(trace.took_ms, 1),
            'queue_ms': round(trace.longest_queue_ms, 1),
            'slowest': _slowest_fields(trace),
            'events': trace.events,
            'events_left_out': trace.omitted_events,
        }
        self.ring.store_trace(query.request_id, entry)


def observer(
    blackboard: Blackboard,
    clock: Clock,
    limits: LimitSettings,
) -> Observer:
    """Build the request observer of a daemon."""
    metrics = daemon_metrics(limits.label_values)
    return Observer(
        blackboard=blackboard,
        metrics=metrics,
        watch=state_watch(blackboard, metrics),
        ring=ExplainRing(max_entries=limits.explain_entries),
        clock=clock,
    )


def _slowest_fields(trace: RequestTrace) -> dict[str, Any] | None:
    slowest = trace.slowest
    if slowest is None:
        return None
    return {
        'shard': slowest.planned.shard,
        'server': slowest.server,
        'server_ms': round(slowest.server_ms, 1),
    }
