"""Metrics of a daemon, through prometheus_client."""

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
# How the check of replies begins what it says of a crossed one.
_CROSSED: Final = 'crossed'


@enum.unique
class Channel(enum.Enum):
    """Whom control is exchanged with."""

    PLATFORM = 'platform'
    PEER = 'peer'


@enum.unique
class DropReason(enum.Enum):
    """What was wrong with a reply of a backend server."""

    CROSSED = 'crossed'
    INCOMPLETE = 'incomplete'
    UNREADABLE = 'unreadable'


@attrs.frozen(kw_only=True)
class QueryFacts:
    """One finished query, as it is counted.

    Attributes:
        labels: from `DaemonMetrics.labels`.
        took_ms: from reading the request to its answer.
        queue_ms: the longest wait of one of its sub-queries for a slot.
        fraction: share of the keys that the answer covers.
        sub_queries: how many were needed.
        extra_runs: hedges, retries and reruns beyond them.
    """

    labels: Labels
    took_ms: float
    queue_ms: float
    fraction: float
    sub_queries: int
    extra_runs: int


@attrs.frozen(kw_only=True)
class FrontWork:
    """What was done for one front since it was last counted."""

    front: str
    hedges: int = 0
    retries: int = 0


@attrs.frozen(kw_only=True)
class ControlCost:
    """What one exchange of control cost.

    Attributes:
        channel: whom it was with.
        sent: bytes.
        received: bytes.
        processor_ms: processor time here.
    """

    channel: Channel
    sent: int = 0
    received: int = 0
    processor_ms: float = 0


CountCost = Callable[[ControlCost], None]


@attrs.frozen(kw_only=True)
class DaemonMetrics:
    """All metrics of one daemon, with bounded labels."""

    _registry: CollectorRegistry
    _guard: LabelGuard
    _queries: QueryFamilies
    _counters: CounterFamilies
    _config_version: Gauge
    _execute: ExecuteFamilies

    @property
    def registry(self) -> CollectorRegistry:
        """Where further families of this daemon are registered."""
        return self._registry

    def labels(self, front: str, tenant: str, traffic_class: str) -> Labels:
        """Give the labels for names as a caller sent them."""
        return self._guard.labels(front, tenant, traffic_class)

    def follow(self, document: Document) -> None:
        """Take the known names and the version from a configuration."""
        if self._guard.follow(document):
            self._config_version.set(document.version)

    def observe_query(self, facts: QueryFacts) -> None:
        """Count one finished query in the four histograms."""
        words = facts.labels.words
        queries = self._queries
        extra = facts.extra_runs / max(facts.sub_queries, 1)
        queries.latency.labels(*words).observe(facts.took_ms / _MS_PER_SECOND)
        queries.queue_wait.labels(*words).observe(
            facts.queue_ms / _MS_PER_SECOND,
        )
        queries.coverage.labels(*words).observe(facts.fraction)
        queries.extra_load.labels(*words).observe(extra)

    def count_answer(self, labels: Labels, verdict: Verdict, code: str) -> None:
        """Count one answer to a caller.

        Args:
            labels: of the request.
            verdict: whether a backend server may have run it.
            code: the value of a failure code, or `complete` or `partial`.
        """
        words = labels.words
        self._counters.verdicts.labels(*words, verdict.value, code).inc()

    def observe_execute(self, labels: Labels, took_ms: float) -> None:
        """Count a non-idempotent request that was answered, in any way."""
        latency = self._execute.latency.labels(*labels.words)
        latency.observe(took_ms / _MS_PER_SECOND)

    def show_remembered(self, count: int) -> None:
        """Show how many ids of non-idempotent requests are kept."""
        self._execute.remembered.set(count)

    def count_work(self, work: FrontWork) -> None:
        """Add to the counters of a front."""
        front = self._guard.fronts.label(work.front)
        self._counters.hedges.labels(front).inc(work.hedges)
        self._counters.retries.labels(front).inc(work.retries)

    def count_failure(self, front: str, failure: Failure) -> None:
        """Count a sub-query that a server shed or answered wrongly."""
        label = self._guard.fronts.label(front)
        if failure.code is FailureCode.SHED:
            self._counters.sheds.labels(label).inc()
        elif failure.code is FailureCode.BAD_REPLY:
            reason = drop_reason(failure).value
            self._counters.dropped_replies.labels(label, reason).inc()

    def count_control(self, cost: ControlCost) -> None:
        """Add the cost of one exchange of control."""
        channel = cost.channel.value
        counters = self._counters
        counters.control_bytes.labels(channel, 'sent').inc(cost.sent)
        counters.control_bytes.labels(channel, 'received').inc(cost.received)
        counters.control_processor.labels(channel).inc(
            cost.processor_ms / _MS_PER_SECOND,
        )

    def page(self) -> bytes:
        """Render all metrics as Prometheus text."""
        return generate_latest(self._registry)


def drop_reason(failure: Failure) -> DropReason:
    """Tell what was wrong with a reply from the failure that says so.

    A reply of this very sub-query whose content does not fit it has the
    verdict that it ran: truncated, doubled, or of another range or snapshot.
    """
    if failure.verdict is Verdict.RAN:
        return DropReason.INCOMPLETE
    if failure.detail.startswith(_CROSSED):
        return DropReason.CROSSED
    return DropReason.UNREADABLE


def daemon_metrics(most_names: int) -> DaemonMetrics:
    """Build the metrics of one daemon, in a registry of their own.

    Args:
        most_names: tenants, classes and fronts each that get series of their
            own, from the settings (`limits.label_values`).
    """
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return DaemonMetrics(
        registry=registry,
        guard=label_guard(most_names),
        queries=query_families(registry),
        counters=counter_families(registry),
        config_version=config_gauge(registry),
        execute=execute_families(registry),
    )
