"""Metrics and the bounds of their labels."""

from typing import Any

import attrs
import pytest
from daemon_builders_product import labelled_document

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork.gather import ExpectedReply, KeyRange, Reply, check_reply
from fennelfork_daemon.metrics._labels import OTHER
from fennelfork_daemon.metrics._metrics import (
    Channel,
    ControlCost,
    DaemonMetrics,
    DropReason,
    FrontWork,
    QueryFacts,
    daemon_metrics,
    drop_reason,
)


def _metrics(most_names: int = 8) -> DaemonMetrics:
    metrics = daemon_metrics(most_names)
    metrics.follow(labelled_document(fronts=('f',), tenants=('t',)))
    return metrics


def _observe(metrics: DaemonMetrics, tenant: str, fraction: float = 1) -> None:
    metrics.observe_query(
        QueryFacts(
            labels=metrics.labels('f', tenant, 'counter'),
            took_ms=40,
            queue_ms=3,
            fraction=fraction,
            sub_queries=50,
            extra_runs=2,
        ),
    )


class TestPage:
    """What operators scrape."""

    def test_queries_by_front_tenant_and_class(self) -> None:
        """Each of the four histograms has the query under its labels."""
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
        """Answers, work, dropped replies and control cost add up."""
        metrics = _metrics()
        labels = metrics.labels('f', 't', 'counter')
        metrics.count_answer(labels, Verdict.NOT_RUN, 'shed')
        metrics.count_work(FrontWork(front='f', hedges=2, retries=1))
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
    """Replies thrown away, by what was wrong with them."""

    @pytest.mark.parametrize(
        ('changes', 'reason'),
        [
            ({'request_id': 'r2'}, DropReason.CROSSED),
            ({'sub_query': 'q2'}, DropReason.CROSSED),
            ({'count': 2}, DropReason.INCOMPLETE),
            ({'snapshot': 6}, DropReason.INCOMPLETE),
        ],
    )
    def test_by_the_check_of_replies(
        self,
        changes: dict[str, Any],
        reason: DropReason,
    ) -> None:
        """What the check of replies says is counted under its reason."""
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
        crossed = check_reply(expected, attrs.evolve(reply, **changes))
        metrics = _metrics()
        metrics.count_failure('f', crossed.failure())
        line = f'dropped_replies_total{{front="f",reason="{reason.value}"}} 1.0'
        assert line in metrics.page().decode()

    def test_unreadable(self) -> None:
        """A reply that is no JSON has a reason of its own."""
        failure = may_have_run(FailureCode.BAD_REPLY, 'the body is not JSON')
        assert drop_reason(failure) is DropReason.UNREADABLE


class TestBounds:
    """Series do not grow with what callers send."""

    def test_unknown_names_are_other(self) -> None:
        """A name that the configuration lacks is counted as `other`."""
        metrics = _metrics()
        found = metrics.labels('x', 'y', 'z')
        assert found.words == (OTHER, OTHER, OTHER)

    def test_unknown_tenants_do_not_grow_the_page(self) -> None:
        """A thousand unknown tenants make as many series as one."""
        metrics = _metrics()
        _observe(metrics, 'nobody-0')
        metrics.count_work(FrontWork(front='front-0', hedges=1))
        before = len(metrics.page().splitlines())
        for at in range(1000):
            _observe(metrics, f'nobody-{at}')
            metrics.count_work(FrontWork(front=f'front-{at}', hedges=1))
        assert len(metrics.page().splitlines()) == before

    def test_names_that_come_and_go(self) -> None:
        """Names replaced by patches stop at the bound."""
        metrics = daemon_metrics(4)
        seen = set()
        for at in range(50):
            document = labelled_document(fronts=(f'f{at}',), tenants=('t',))
            metrics.follow(document)
            seen.add(metrics.labels(f'f{at}', 't', 'counter').front)
        assert seen == {'f0', 'f1', 'f2', 'f3', OTHER}

    def test_combinations(self) -> None:
        """Known names in new combinations stop at the bound, too."""
        names = tuple(f'n{at}' for at in range(6))
        metrics = daemon_metrics(6)
        metrics.follow(labelled_document(fronts=names, tenants=names))
        seen = {
            metrics.labels(front, tenant, 'counter')
            for front in names
            for tenant in names
        }
        assert len(seen) == 25
