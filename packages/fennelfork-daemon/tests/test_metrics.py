"""Tests of metrics and the limits on label values."""

from typing import Any

import attrs
import pytest
from daemon_builders_product import labelled_document

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork.gather import ExpectedReply, KeyRange, Reply, check_reply
from fennelfork_daemon.metrics._known_names import OTHER
from fennelfork_daemon.metrics._metrics import (
    Channel,
    ControlCost,
    DaemonMetrics,
    DropReason,
    FrontAttempts,
    QuerySample,
    daemon_metrics,
    drop_reason,
)


def _metrics(max_names: int = 8) -> DaemonMetrics:
    metrics = daemon_metrics(max_names)
    metrics.apply_configuration(
        labelled_document(fronts=('f',), tenants=('t',))
    )
    return metrics


def _observe(metrics: DaemonMetrics, tenant: str, fraction: float = 1) -> None:
    metrics.observe_query(
        QuerySample(
            labels=metrics.labels('f', tenant, 'counter'),
            took_ms=40,
            queue_ms=3,
            fraction=fraction,
            sub_queries=50,
            extra_attempts=2,
        ),
    )


class TestPage:
    """Metrics page that operators scrape."""

    def test_queries_by_front_tenant_and_class(self) -> None:
        """Each histogram records the query with front, tenant and class."""
        metrics = _metrics()
        _observe(metrics, 't', fraction=0.5)
        lines = metrics.page().decode().splitlines()
        labels = 'class="counter",front="f",'
        for name, bound in (
            ('latency_seconds', '0.05'),
            ('queue_wait_seconds', '0.005'),
            ('coverage_ratio', '0.5'),
            ('extra_load_ratio', '0.05'),
        ):
            start = f'fennelfork_query_{name}_bucket{{{labels}le="{bound}",'
            assert f'{start}tenant="t"}} 1.0' in lines

    def test_counters(self) -> None:
        """Counters include answers, attempts, sheds and control cost."""
        metrics = _metrics()
        labels = metrics.labels('f', 't', 'counter')
        metrics.count_answer(labels, Verdict.NOT_RUN, 'shed')
        metrics.count_attempts(FrontAttempts(front='f', hedges=2, retries=1))
        metrics.count_failure('f', not_run(FailureCode.SHED, 'busy'))
        metrics.count_failure('f', not_run(FailureCode.DRAINING, 'leaving'))
        cost = ControlCost(channel=Channel.PEER, sent=70, processor_ms=250)
        metrics.count_control(cost)
        page = metrics.page().decode()
        for line in (
            'verdict="not_run"} 1.0',
            'fennelfork_hedges_total{front="f"} 2.0',
            'fennelfork_retries_total{front="f"} 1.0',
            'fennelfork_sheds_total{front="f"} 1.0',
            'control_bytes_total{channel="peer",direction="sent"} 70.0',
            'control_processor_seconds_total{channel="peer"} 0.25',
            'fennelfork_config_version 3.0',
        ):
            assert line in page


class TestDroppedReplies:
    """Reasons of discarded replies."""

    @pytest.mark.parametrize(
        ('changes', 'reason'),
        [
            ({'request_id': 'r2'}, DropReason.CROSSED),
            ({'sub_query': 'q2'}, DropReason.CROSSED),
            ({'count': 2}, DropReason.INCOMPLETE),
            ({'snapshot': 6}, DropReason.INCOMPLETE),
        ],
    )
    def test_reason_of_reply_check(
        self,
        changes: dict[str, Any],
        reason: DropReason,
    ) -> None:
        """A reply that `check_reply` rejects is counted with the reason."""
        span = KeyRange(lo=0, hi=5)
        expected = ExpectedReply(
            request_id='r1',
            sub_query='q1',
            snapshot=7,
            span=span,
        )
        reply = Reply(
            request_id='r1',
            sub_query='q1',
            snapshot=7,
            span=span,
            count=0,
            records=(),
        )
        rejected = check_reply(expected, attrs.evolve(reply, **changes))
        metrics = _metrics()
        metrics.count_failure('f', rejected.failure())
        line = f'dropped_replies_total{{front="f",reason="{reason.value}"}} 1.0'
        assert line in metrics.page().decode()

    def test_unreadable(self) -> None:
        """A reply that is not JSON has the reason `UNREADABLE`."""
        failure = may_have_run(FailureCode.BAD_REPLY, 'the body is not JSON')
        assert drop_reason(failure) is DropReason.UNREADABLE


class TestLabelLimits:
    """Names that callers send do not add time series without limit."""

    def test_unknown_names_are_other(self) -> None:
        """A name that is not in the configuration is counted as `other`."""
        metrics = _metrics()
        unknown = metrics.labels('x', 'y', 'z')
        assert unknown.label_values == (OTHER, OTHER, OTHER)

    def test_unknown_tenants_do_not_grow_the_page(self) -> None:
        """A thousand unknown tenants share the time series of one."""
        metrics = _metrics()
        _observe(metrics, 'nobody-0')
        metrics.count_attempts(FrontAttempts(front='front-0', hedges=1))
        before = len(metrics.page().splitlines())
        for index in range(1000):
            _observe(metrics, f'nobody-{index}')
            metrics.count_attempts(
                FrontAttempts(front=f'front-{index}', hedges=1)
            )
        assert len(metrics.page().splitlines()) == before

    def test_replaced_names(self) -> None:
        """The limit also applies to names that patches replace."""
        metrics = daemon_metrics(4)
        observed = set()
        for index in range(50):
            document = labelled_document(fronts=(f'f{index}',), tenants=('t',))
            metrics.apply_configuration(document)
            observed.add(metrics.labels(f'f{index}', 't', 'counter').front)
        assert observed == {'f0', 'f1', 'f2', 'f3', OTHER}

    def test_combinations(self) -> None:
        """The number of combinations of known names is limited."""
        names = tuple(f'n{index}' for index in range(6))
        metrics = daemon_metrics(6)
        metrics.apply_configuration(
            labelled_document(fronts=names, tenants=names)
        )
        observed = {
            metrics.labels(front, tenant, 'counter')
            for front in names
            for tenant in names
        }
        assert len(observed) == 25
