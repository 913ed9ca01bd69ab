"""The families of metrics that a daemon offers."""

from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_SECONDS: Final = (
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
_SHARES: Final = (0, 0.5, 0.9, 0.95, 0.99, 0.999, 1)
_EXTRA: Final = (0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1)
_FRONT: Final = 'front'
_BY_QUERY: Final = (_FRONT, 'tenant', 'class')


@attrs.frozen(kw_only=True)
class QueryFamilies:
    """Histograms by front, tenant and class."""

    latency: Histogram
    queue_wait: Histogram
    coverage: Histogram
    extra_load: Histogram


@attrs.frozen(kw_only=True)
class CounterFamilies:
    """Counters of answers, of work by front, and of control."""

    verdicts: Counter
    hedges: Counter
    retries: Counter
    sheds: Counter
    dropped_replies: Counter
    control_bytes: Counter
    control_processor: Counter


@attrs.frozen(kw_only=True)
class ExecuteFamilies:
    """What is told of non-idempotent requests."""

    latency: Histogram
    remembered: Gauge


def execute_families(registry: CollectorRegistry) -> ExecuteFamilies:
    """Build the families of non-idempotent requests."""
    return ExecuteFamilies(
        latency=Histogram(
            'fennelfork_execute_latency_seconds',
            'From reading a non-idempotent request to its answer.',
            _BY_QUERY,
            registry=registry,
            buckets=_SECONDS,
        ),
        remembered=Gauge(
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
            _BY_QUERY,
            registry=registry,
            buckets=_SECONDS,
        ),
        queue_wait=Histogram(
            'fennelfork_query_queue_wait_seconds',
            'Longest wait of a sub-query of a query for a slot.',
            _BY_QUERY,
            registry=registry,
            buckets=_SECONDS,
        ),
        coverage=Histogram(
            'fennelfork_query_coverage_ratio',
            'Share of the keys that an answer covers; 1 is complete.',
            _BY_QUERY,
            registry=registry,
            buckets=_SHARES,
        ),
        extra_load=Histogram(
            'fennelfork_query_extra_load_ratio',
            'Hedges, retries and reruns for each sub-query needed.',
            _BY_QUERY,
            registry=registry,
            buckets=_EXTRA,
        ),
    )


def counter_families(registry: CollectorRegistry) -> CounterFamilies:
    """Build the counters."""
    return CounterFamilies(
        verdicts=Counter(
            'fennelfork_answers',
            'Answers to callers by verdict and code.',
            (*_BY_QUERY, 'verdict', 'code'),
            registry=registry,
        ),
        hedges=_by_front(
            'hedges', 'Second copies of slow sub-queries', registry
        ),
        retries=_by_front('retries', 'Sub-queries sent again', registry),
        sheds=_by_front('sheds', 'Sub-queries shed by servers', registry),
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
    """Build the gauge of the configuration version in force."""
    return Gauge(
        'fennelfork_config_version',
        'Version of the configuration in force.',
        registry=registry,
    )


def _by_front(
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
