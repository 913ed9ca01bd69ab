"""Metric families of a daemon."""

from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_LATENCY_BUCKETS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)
_COVERAGE_BUCKETS: Final = (0, 0.5, 0.9, 0.95, 0.99, 0.999, 1)
_EXTRA_LOAD_BUCKETS: Final = (0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1)
_FRONT: Final = 'front'
_QUERY_LABELS: Final = (_FRONT, 'tenant', 'class')


@attrs.frozen(kw_only=True)
class QueryFamilies:
    """Histograms of queries, by front, tenant and traffic class."""

    latency: Histogram
    queue_wait: Histogram
    coverage: Histogram
    extra_load: Histogram


@attrs.frozen(kw_only=True)
class CounterFamilies:
    """Counters of answers, attempts by front, and control traffic."""

    answers: Counter
    hedges: Counter
    retries: Counter
    sheds: Counter
    dropped_replies: Counter
    control_bytes: Counter
    control_processor: Counter


@attrs.frozen(kw_only=True)
class ExecuteFamilies:
    """Metrics of non-idempotent requests."""

    latency: Histogram
    remembered_ids: Gauge


def execute_families(registry: CollectorRegistry) -> ExecuteFamilies:
    """Build the metrics of non-idempotent requests."""
    return ExecuteFamilies(
        latency=Histogram(
            'fennelfork_execute_latency_seconds',
            'From reading a non-idempotent request to its answer.',
            _QUERY_LABELS,
            registry=registry,
            buckets=_LATENCY_BUCKETS_S,
        ),
        remembered_ids=Gauge(
            'fennelfork_execute_remembered',
            'Ids of non-idempotent requests kept in memory.',
            registry=registry,
        ),
    )


def query_families(registry: CollectorRegistry) -> QueryFamilies:
    """Build the histograms of queries."""
    return QueryFamilies(
        latency=Histogram(
            'fennelfork_query_latency_seconds',
            'From reading a query to its answer.',
            _QUERY_LABELS,
            registry=registry,
            buckets=_LATENCY_BUCKETS_S,
        ),
        queue_wait=Histogram(
            'fennelfork_query_queue_wait_seconds',
            'Longest wait of a sub-query of a query for a slot.',
            _QUERY_LABELS,
            registry=registry,
            buckets=_LATENCY_BUCKETS_S,
        ),
        coverage=Histogram(
            'fennelfork_query_coverage_ratio',
            'Share of the keys that an answer covers; 1 is complete.',
            _QUERY_LABELS,
            registry=registry,
            buckets=_COVERAGE_BUCKETS,
        ),
        extra_load=Histogram(
            'fennelfork_query_extra_load_ratio',
            'Hedges and retries for each sub-query needed.',
            _QUERY_LABELS,
            registry=registry,
            buckets=_EXTRA_LOAD_BUCKETS,
        ),
    )


def counter_families(registry: CollectorRegistry) -> CounterFamilies:
    """Build the counters of answers, attempts and control traffic."""
    return CounterFamilies(
        answers=Counter(
            'fennelfork_answers',
            'Answers to callers by verdict and code.',
            (*_QUERY_LABELS, 'verdict', 'code'),
            registry=registry,
        ),
        hedges=_build_front_counter(
            'hedges', 'Second copies of slow sub-queries', registry
        ),
        retries=_build_front_counter(
            'retries', 'Sub-queries sent again', registry
        ),
        sheds=_build_front_counter(
            'sheds', 'Sub-queries shed by servers', registry
        ),
        dropped_replies=Counter(
            'fennelfork_dropped_replies',
            'Replies of servers thrown away, by what was wrong with them.',
            (_FRONT, 'reason'),
            registry=registry,
        ),
        control_bytes=Counter(
            'fennelfork_control_bytes',
            'Bytes of control, by channel and direction.',
            ('channel', 'direction'),
            registry=registry,
        ),
        control_processor=Counter(
            'fennelfork_control_processor_seconds',
            'Processor time of control, by channel.',
            ('channel',),
            registry=registry,
        ),
    )


def config_gauge(registry: CollectorRegistry) -> Gauge:
    """Build the gauge of the active configuration version."""
    return Gauge(
        'fennelfork_config_version',
        'Version of the configuration in force.',
        registry=registry,
    )


def _build_front_counter(
    name: str,
    help_text: str,
    registry: CollectorRegistry,
) -> Counter:
    return Counter(
        f'fennelfork_{name}',
        f'{help_text}.',
        (_FRONT,),
        registry=registry,
    )
