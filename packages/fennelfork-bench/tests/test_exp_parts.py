"""Computation of costs, load metrics and reports of the experiments."""

import json

from fennelfork_bench.experiments._cost import (
    CostReading,
    compute_costs,
    sum_metric,
)
from fennelfork_bench.experiments._steady_load import (
    Sample,
    collect_load_metrics,
)
from fennelfork_bench.rig._caller import RequestResult
from fennelfork_bench.rig._http import HttpResponse
from fennelfork_bench.rig._report import Arm, Report, percentile
from fennelfork_bench.rig._usage import Usage

_PAGE = """\
# TYPE fennelfork_control_bytes counter
fennelfork_control_bytes_total{channel="peer",direction="sent"} 40.0
fennelfork_control_bytes_total{channel="platform",direction="sent"} 2.0
fennelfork_control_bytes_created{channel="peer",direction="sent"} 9.0
"""


def _sample(
    status: int, faults: tuple[str, ...], connection_errors: int
) -> Sample:
    result = RequestResult(
        request_id='r',
        reply=HttpResponse(status=status, body={}),
        attempts=1 + connection_errors,
        took_ms=5,
        connection_errors=('ProtocolError',) * connection_errors,
    )
    return Sample(at_ms=1, result=result, faults=faults)


class TestCosts:
    """Costs of a daemon during an interval."""

    def test_adds_up_the_series_of_one_metric(self) -> None:
        """All labels are summed; other series of the family are ignored."""
        name = 'fennelfork_control_bytes_total'
        assert sum_metric(_PAGE, name) == 42

    def test_cost_between_two_readings(self) -> None:
        """Costs are relative to the time between the readings."""
        used = Usage(cpu_ms=100, resident_mb=50)
        before = CostReading(at_ms=0, used=used, control_bytes=1000)
        later = Usage(cpu_ms=200, resident_mb=60)
        after = CostReading(at_ms=2000, used=later, control_bytes=5000)
        cost = compute_costs([before], [after])[0]
        assert cost.core_percent == 5
        assert cost.kb_per_s == 2
        assert cost.resident_mb == 60


class TestLoadMetrics:
    """Metrics of the requests of a load."""

    def test_distinguishes_failed_and_wrong(self) -> None:
        """Missing answers count as failed, incorrect answers as wrong."""
        samples = [
            _sample(200, (), 0),
            _sample(200, ('wrong records',), 1),
            _sample(503, ('no answer',), 0),
        ]
        metrics = collect_load_metrics(samples)
        assert metrics['requests'] == 3
        assert metrics['failed'] == 1
        assert metrics['wrong'] == 1
        assert metrics['cut'] == 1
        assert metrics['failed_no_answer'] == 1


class TestReport:
    """Reports as JSON and as a text table."""

    def test_json_members(self) -> None:
        """The JSON report has exactly the documented members."""
        arms = (Arm(name='a', metrics={'p50_ms': 1.5}),)
        report = Report(experiment='x', seed=3, arms=arms)
        assert json.loads(report.to_json()) == {
            'experiment': 'x',
            'seed': 3,
            'arms': [{'name': 'a', 'metrics': {'p50_ms': 1.5}}],
            'failures': [],
        }

    def test_table_shows_a_dash_for_a_missing_metric(self) -> None:
        """Arms with different metrics share one table."""
        arms = (
            Arm(name='a', metrics={'x': 1}),
            Arm(name='b', metrics={'y': 2}),
        )
        text = Report(experiment='x', seed=3, arms=arms).to_text()
        assert text.splitlines() == [
            '   a  b',
            'x  1  -',
            'y  -  2',
        ]

    def test_percentile_of_few_samples(self) -> None:
        """A percentile of few samples is one of the samples."""
        assert percentile([3, 1, 2], 0.5) == 2
        assert percentile([3, 1, 2], 0.99) == 3
