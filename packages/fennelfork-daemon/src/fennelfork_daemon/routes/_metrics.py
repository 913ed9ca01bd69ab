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

from fennelfork.routes import Quarantine, RequestStatus, RouteTable
from fennelfork_daemon.http._router import HttpReply, HttpRequest
from fennelfork_daemon.metrics._labels import KnownNames

_MS_PER_SECOND: Final = 1000
_OK: Final = 200
# Routes and services with series of their own; one child takes 3.7 KB.
_MOST_NAMES: Final = 64
# Around the aims of 0.1 to 1 s and the timeouts of 2 to 15 s.
_SECONDS: Final = (0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1, 2, 4, 15)


@attrs.frozen(kw_only=True)
class RequestFacts:
    """One request that was answered, as it is counted.

    Attributes:
        route: its name.
        outcome: what the caller got: `whole`, `partial` or a failure code.
        took_ms: from reading the request to its answer.
        hedges: second copies of late calls.
        retries: calls made again after a failure.
        missing: services whose part is not in.
    """

    route: str
    outcome: str
    took_ms: float
    hedges: int
    retries: int
    missing: tuple[str, ...]


@attrs.frozen(kw_only=True)
class RouteMetrics:
    """All metrics, with bounded labels."""

    _registry: CollectorRegistry
    _routes: KnownNames
    _services: KnownNames
    _latency: Histogram
    _answers: Counter
    _extra: Counter
    _missing: Counter
    _decisions: Counter
    _told_age: Gauge
    _held: Gauge

    def follow_store(self, told_age_ms: Callable[[], float]) -> None:
        """Show how old what is known of the store is, whenever asked."""
        self._told_age.set_function(lambda: told_age_ms() / _MS_PER_SECOND)

    def follow_quarantine(self, quarantine: Quarantine) -> None:
        """Show how many requests are held for ending servers."""
        for status in (
            RequestStatus.SUSPECTED,
            RequestStatus.QUARANTINED,
        ):
            count = functools.partial(_count, quarantine, status)
            self._held.labels(status.value).set_function(count)

    def follow(self, table: RouteTable) -> None:
        """Take the names that may be labels from the routes in force."""
        self._routes.allow(route.name for route in table.routes)
        self._services.allow(table.services)

    def observe(self, facts: RequestFacts) -> None:
        """Count one answered request."""
        route = self._routes.label(facts.route)
        self._latency.labels(route).observe(facts.took_ms / _MS_PER_SECOND)
        self._answers.labels(route, facts.outcome).inc()
        self._extra.labels(route, 'hedge').inc(facts.hedges)
        self._extra.labels(route, 'retry').inc(facts.retries)
        for service in facts.missing:
            self._missing.labels(self._services.label(service)).inc()

    def count_decision(
        self,
        event: str,
        *,
        logged: bool,
        times: int,
    ) -> None:
        """Count decisions of the log, whether their line was written or not."""
        self._decisions.labels(event, 'yes' if logged else 'no').inc(times)

    def page(self, request: HttpRequest) -> HttpReply:
        """Answer with all metrics, as text."""
        return HttpReply(
            status=_OK,
            headers=(('Content-Type', CONTENT_TYPE_PLAIN_0_0_4),),
            body=generate_latest(self._registry),
        )


def route_metrics() -> RouteMetrics:
    """Build the metrics of one daemon, in a registry of their own."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return RouteMetrics(
        registry=registry,
        routes=KnownNames(most=_MOST_NAMES),
        services=KnownNames(most=_MOST_NAMES),
        latency=Histogram(
            'fennelfork_route_latency_seconds',
            'From reading a request to its answer.',
            ('route',),
            buckets=_SECONDS,
            registry=registry,
        ),
        answers=_counter(
            registry,
            'fennelfork_route_answers',
            'Answered requests by what their caller got.',
            ('route', 'outcome'),
        ),
        extra=_counter(
            registry,
            'fennelfork_route_extra_calls',
            'Calls of backend servers beyond the first of each service.',
            ('route', 'reason'),
        ),
        missing=_counter(
            registry,
            'fennelfork_missing_parts',
            'Parts that an answer went out without.',
            ('service',),
        ),
        decisions=_counter(
            registry,
            'fennelfork_decisions',
            'Decisions by kind, and whether a log line was written.',
            ('event', 'logged'),
        ),
        told_age=Gauge(
            'fennelfork_store_told_age_seconds',
            'Since the store last told what it holds.',
            registry=registry,
        ),
        held=Gauge(
            'fennelfork_requests_held',
            'Requests under which backend servers ended, by their standing.',
            ('standing',),
            registry=registry,
        ),
    )


def _count(quarantine: Quarantine, status: RequestStatus) -> int:
    return sum(one.status is status for one in quarantine.records)


def _counter(
    registry: CollectorRegistry,
    name: str,
    text: str,
    labels: tuple[str, ...],
) -> Counter:
    return Counter(name, text, labels, registry=registry)
