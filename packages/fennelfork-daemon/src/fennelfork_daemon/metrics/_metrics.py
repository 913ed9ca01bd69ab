"""Metrics of a daemon in the Prometheus format."""

import enum
from collections.abc import Callable
from typing import Final

import attrs
from prometheus_client import (
    CollectorRegistry,
    Gauge,
    ProcessCollector,
    generate_latest,
)

from fennelfork import Failure, FailureCode, Verdict
from fennelfork.config import Document
from fennelfork_daemon.metrics._families import (
    CounterFamilies,
    ExecuteFamilies,
    QueryFamilies,
    config_gauge,
    counter_families,
    execute_families,
    query_families,
)
from fennelfork_daemon.metrics._labels import LabelGuard, Labels, label_guard

_MS_PER_SECOND: Final = 1000
# Prefix of the detail of a failure that reports a crossed reply.
_CROSSED_PREFIX: Final = 'crossed'


@enum.unique
class Channel(enum.Enum):
    """Channel of control traffic."""

    PLATFORM = 'platform'
    PEER = 'peer'


@enum.unique
class DropReason(enum.Enum):
    """Reason why a response of a backend server was discarded."""

    CROSSED = 'crossed'
    INCOMPLETE = 'incomplete'
    UNREADABLE = 'unreadable'


@attrs.frozen(kw_only=True)
class QuerySample:
    """Values of a finished query that the metrics record.

    Attributes:
        labels: label values from `DaemonMetrics.labels`.
        took_ms: time from reading the request to the answer.
        queue_ms: longest time that a sub-query waited for a slot.
        fraction: fraction of the keys that the answer covers.
        sub_queries: number of sub-queries that the query needs.
        extra_attempts: number of hedges and retries.
    """

    labels: Labels
    took_ms: float
    queue_ms: float
    fraction: float
    sub_queries: int
    extra_attempts: int


@attrs.frozen(kw_only=True)
class FrontAttempts:
    """Number of hedges and retries of one query on a front."""

    front: str
    hedges: int = 0
    retries: int = 0


@attrs.frozen(kw_only=True)
class ControlCost:
    """Cost of one exchange of control traffic.

    Attributes:
        channel: channel of the exchange.
        sent: number of bytes sent.
        received: number of bytes received.
        processor_ms: processor time in this daemon.
    """

    channel: Channel
    sent: int = 0
    received: int = 0
    processor_ms: float = 0


CountCost = Callable[[ControlCost], None]


@attrs.frozen(kw_only=True)
class DaemonMetrics:
    """All metrics of one daemon, with limited label values."""

    _registry: CollectorRegistry
    _guard: LabelGuard
    _queries: QueryFamilies
    _counters: CounterFamilies
    _config_version: Gauge
    _execute: ExecuteFamilies

    @property
    def registry(self) -> CollectorRegistry:
        """Registry for further metrics of this daemon."""
        return self._registry

    def labels(self, front: str, tenant: str, traffic_class: str) -> Labels:
        """Return the labels for names that a caller sent."""
        return self._guard.labels(front, tenant, traffic_class)

    def apply_configuration(self, document: Document) -> None:
        """Apply the names and the version of a configuration."""
        if self._guard.apply_configuration(document):
            self._config_version.set(document.version)

    def observe_query(self, sample: QuerySample) -> None:
        """Record a finished query in the four histograms."""
        label_values = sample.labels.label_values
        queries = self._queries
        extra = sample.extra_attempts / max(sample.sub_queries, 1)
        queries.latency.labels(*label_values).observe(
            sample.took_ms / _MS_PER_SECOND
        )
        queries.queue_wait.labels(*label_values).observe(
            sample.queue_ms / _MS_PER_SECOND,
        )
        queries.coverage.labels(*label_values).observe(sample.fraction)
        queries.extra_load.labels(*label_values).observe(extra)

    def count_answer(self, labels: Labels, verdict: Verdict, code: str) -> None:
        """Count an answer to a caller.

        Args:
            labels: label values of the request.
            verdict: whether a backend server may have run the request.
            code: value of a failure code, or `complete` or `partial`.
        """
        label_values = labels.label_values
        self._counters.answers.labels(*label_values, verdict.value, code).inc()

    def observe_execute(self, labels: Labels, took_ms: float) -> None:
        """Record the latency of a non-idempotent request."""
        latency = self._execute.latency.labels(*labels.label_values)
        latency.observe(took_ms / _MS_PER_SECOND)

    def set_remembered_ids(self, count: int) -> None:
        """Set the number of stored IDs of non-idempotent requests."""
        self._execute.remembered_ids.set(count)

    def count_attempts(self, attempts: FrontAttempts) -> None:
        """Add hedges and retries to the counters of a front."""
        front = self._guard.fronts.label(attempts.front)
        self._counters.hedges.labels(front).inc(attempts.hedges)
        self._counters.retries.labels(front).inc(attempts.retries)

    def count_failure(self, front: str, failure: Failure) -> None:
        """Count a sub-query that was shed or had an invalid response."""
        label = self._guard.fronts.label(front)
        if failure.code is FailureCode.SHED:
            self._counters.sheds.labels(label).inc()
        elif failure.code is FailureCode.BAD_REPLY:
            reason = drop_reason(failure).value
            self._counters.dropped_replies.labels(label, reason).inc()

    def count_control(self, cost: ControlCost) -> None:
        """Add the cost of one exchange of control traffic."""
        channel = cost.channel.value
        counters = self._counters
        counters.control_bytes.labels(channel, 'sent').inc(cost.sent)
        counters.control_bytes.labels(channel, 'received').inc(cost.received)
        counters.control_processor.labels(channel).inc(
            cost.processor_ms / _MS_PER_SECOND,
        )

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def drop_reason(failure: Failure) -> DropReason:
    """Return the reason why a response was discarded.

    A response to the right sub-query with wrong content (truncated,
    duplicated, or of another key range or snapshot) has the verdict `RAN`.
    """
    if failure.verdict is Verdict.RAN:
        return DropReason.INCOMPLETE
    if failure.detail.startswith(_CROSSED_PREFIX):
        return DropReason.CROSSED
    return DropReason.UNREADABLE


def daemon_metrics(max_names: int) -> DaemonMetrics:
    """Build the metrics of one daemon in a new registry.

    Args:
        max_names: maximum number of fronts, of tenants and of traffic
            classes that get time series of their own; the setting
            `limits.label_values`.
    """
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return DaemonMetrics(
        registry=registry,
        guard=label_guard(max_names),
        queries=query_families(registry),
        counters=counter_families(registry),
        config_version=config_gauge(registry),
        execute=execute_families(registry),
    )
