"""Metrics of a daemon that serves routes."""

import functools
from collections.abc import Callable
from typing import Final

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from fennelfork.routes import (
    Quarantine,
    RefusalReason,
    RequestStatus,
    RouteTable,
)
from fennelfork_daemon.http._router import HttpReply, HttpRequest
from fennelfork_daemon.metrics._known_names import KnownNames
from fennelfork_daemon.routes._workspace_counts import WorkspaceCounts

_MS_PER_SECOND: Final = 1000
_OK: Final = 200
# Bounds the number of time series, and so the memory: the series of one route
# take 3.7 KB.
_MAX_NAMES: Final = 64
# Covers the latency targets and timeouts of typical routes.
_LATENCY_BUCKETS: Final = (0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1, 2, 4, 15)
# Covers an event loop on time, one late by a hedge delay, and a suspended one.
_DELAY_BUCKETS: Final = (0.005, 0.025, 0.1, 0.3, 1, 3)


@attrs.frozen(kw_only=True)
class AnsweredRequest:
    """Metrics data of one answered request.

    Attributes:
        route: name of the route.
        outcome: HTTP status of a forwarded response, `whole`, `partial`, or
            the code and verdict of a failure.
        took_ms: time from reading the request to the answer.
        hedges: number of hedges.
        retries: number of retries.
        missing: names of the services without a response.
        write_delay_ms: longest time between the decision on an attempt and the
            write of its request.
    """

    route: str
    outcome: str
    took_ms: float
    hedges: int
    retries: int
    missing: tuple[str, ...]
    write_delay_ms: float


@attrs.frozen(kw_only=True)
class RouteMetrics:
    """Metrics of the daemon, with a bounded number of label values.

    Attributes:
        workspaces: counts of the requests of each workspace.
    """

    workspaces: WorkspaceCounts
    _registry: CollectorRegistry
    _routes: KnownNames
    _services: KnownNames
    _latency: Histogram
    _answers: Counter
    _extra_attempts: Counter
    _write_delay: Histogram
    _missing: Counter
    _decisions: Counter
    _overload_refusals: Counter
    _store_calls: Counter
    _listing_age: Gauge
    _limit_share: Gauge
    _suspicions: Gauge

    def export_store_age(self, age_ms: Callable[[], float]) -> None:
        """Export the age of the data that was read from the store."""
        self._listing_age.set_function(lambda: age_ms() / _MS_PER_SECOND)

    def export_limit_share(self, share: Callable[[], float]) -> None:
        """Export the share of this daemon in the limits of the fleet."""
        self._limit_share.set_function(share)

    def export_quarantine(self, quarantine: Quarantine) -> None:
        """Export the number of suspected and quarantined requests."""
        for status in (
            RequestStatus.SUSPECTED,
            RequestStatus.QUARANTINED,
        ):
            count = functools.partial(_count_by_status, quarantine, status)
            self._suspicions.labels(status.value).set_function(count)

    def allow_names_of(self, table: RouteTable) -> None:
        """Allow the names of the active configuration as labels."""
        self._routes.set_names(route.name for route in table.routes)
        self._services.set_names(table.services)
        workspaces = table.workspaces
        self.workspaces.set_names(workspaces.by_name if workspaces else ())

    def record_answer(self, answered: AnsweredRequest) -> None:
        """Record one answered request."""
        route = self._routes.label(answered.route)
        self._latency.labels(route).observe(answered.took_ms / _MS_PER_SECOND)
        self._answers.labels(route, answered.outcome).inc()
        self._extra_attempts.labels(route, 'hedge').inc(answered.hedges)
        self._extra_attempts.labels(route, 'retry').inc(answered.retries)
        self._write_delay.observe(answered.write_delay_ms / _MS_PER_SECOND)
        for service in answered.missing:
            self._missing.labels(self._services.label(service)).inc()

    def count_decision(
        self,
        event: str,
        *,
        logged: bool,
        times: int,
    ) -> None:
        """Count decisions by event and by whether a log line was written."""
        self._decisions.labels(event, 'yes' if logged else 'no').inc(times)

    def count_overload_refusal(self, route: str, reason: RefusalReason) -> None:
        """Count a request that was refused before its first attempt."""
        label = self._routes.label(route)
        self._overload_refusals.labels(label, reason.value).inc()

    def count_store_call(self, reason: str, outcome: str, times: int) -> None:
        """Count calls of the store by reason and outcome."""
        self._store_calls.labels(reason, outcome).inc(times)

    def page(self, request: HttpRequest) -> HttpReply:
        """Return all metrics in the Prometheus text format."""
        return HttpReply(
            status=_OK,
            headers=(('Content-Type', CONTENT_TYPE_PLAIN_0_0_4),),
            body=generate_latest(self._registry),
        )


def route_metrics() -> RouteMetrics:
    """Build the metrics of one daemon in a separate registry."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    workspaces = WorkspaceCounts()
    registry.register(workspaces)
    return RouteMetrics(
        workspaces=workspaces,
        registry=registry,
        routes=KnownNames(max_names=_MAX_NAMES),
        services=KnownNames(max_names=_MAX_NAMES),
        latency=Histogram(
            'fennelfork_route_latency_seconds',
            'From reading a request to its answer.',
            ('route',),
            buckets=_LATENCY_BUCKETS,
            registry=registry,
        ),
        answers=_build_counter(
            registry,
            'fennelfork_route_answers',
            'Answered requests by what their caller got.',
            ('route', 'outcome'),
        ),
        extra_attempts=_build_counter(
            registry,
            'fennelfork_route_extra_calls',
            'Calls of backend servers beyond the first of each service.',
            ('route', 'reason'),
        ),
        write_delay=Histogram(
            'fennelfork_write_delay_seconds',
            'Longest time from a decision to send to the write, per request.',
            buckets=_DELAY_BUCKETS,
            registry=registry,
        ),
        missing=_build_counter(
            registry,
            'fennelfork_missing_parts',
            'Parts that an answer went out without.',
            ('service',),
        ),
        decisions=_build_counter(
            registry,
            'fennelfork_decisions',
            'Decisions by kind, and whether a log line was written.',
            ('event', 'logged'),
        ),
        overload_refusals=_build_counter(
            registry,
            'fennelfork_overload_refusals',
            'Requests refused under overload, by what had no room for them.',
            ('route', 'reason'),
        ),
        store_calls=_build_counter(
            registry,
            'fennelfork_store_calls',
            'Calls of the store by why they were made and how they ended.',
            ('reason', 'outcome'),
        ),
        listing_age=Gauge(
            'fennelfork_store_told_age_seconds',
            'Since the store last told what it holds.',
            registry=registry,
        ),
        limit_share=Gauge(
            'fennelfork_limit_share',
            'Share of this daemon in the limits of the whole fleet.',
            registry=registry,
        ),
        suspicions=Gauge(
            'fennelfork_requests_held',
            'Requests under which backend servers ended, by their standing.',
            ('standing',),
            registry=registry,
        ),
    )


def _count_by_status(quarantine: Quarantine, status: RequestStatus) -> int:
    return sum(record.status is status for record in quarantine.records)


def _build_counter(
    registry: CollectorRegistry,
    name: str,
    description: str,
    labels: tuple[str, ...],
) -> Counter:
    return Counter(name, description, labels, registry=registry)
