"""Counts of the requests of workspaces on one daemon.

Guards against refusals that operators cannot assign to a workspace, and against
metrics that grow with the number of workspaces.
"""

from collections.abc import Iterable
from typing import Any

import attrs
from daemon_builders_routes import table
from prometheus_client.parser import text_string_to_metric_families

from fennelfork.workspaces import Workspace, workspace_table
from fennelfork_daemon.http._router import HttpRequest
from fennelfork_daemon.routes._metrics import RouteMetrics, route_metrics

_FAMILY = 'fennelfork_workspace_requests'
_REQUEST = HttpRequest(environ={}, names={}, options={})


class TestMetrics:
    """Counts in the metrics."""

    def test_by_outcome(self) -> None:
        """Answers and refusals are counted by workspace and reason."""
        metrics = _metrics(('lab', 'idle'))
        for outcome in ('answered', 'quota', 'quota'):
            metrics.workspaces.count('lab', outcome)
        metrics.workspaces.count('', 'unknown_key')
        assert _samples(metrics) == {
            ('lab', 'answered'): 1,
            ('lab', 'quota'): 2,
            ('', 'unknown_key'): 1,
        }
        assert metrics.workspaces.of('lab') == {'answered': 1, 'quota': 2}
        assert not metrics.workspaces.of('idle')

    def test_number_of_labels(self) -> None:
        """The busiest of many workspaces are named, and no count is lost."""
        names = [f'w{number}' for number in range(5000)]
        metrics = _metrics(names)
        for name in names:
            metrics.workspaces.count(name, 'answered')
        assert len(_samples(metrics)) == 65
        for _ in range(9):
            metrics.workspaces.count('w4999', 'answered')
        before = _samples(metrics)
        metrics.workspaces.count('w4999', 'answered')
        samples = _samples(metrics)
        assert samples['w4999', 'answered'] == 1
        assert samples['other', 'answered'] == before['other', 'answered']
        assert len(samples) == 65
        assert metrics.workspaces.of('w4999') == {'answered': 11}

    def test_removed_workspace(self) -> None:
        """The counts of a workspace that is no longer configured are dropped."""
        metrics = _metrics(('lab', 'gone'))
        metrics.workspaces.count('gone', 'answered')
        metrics.allow_names_of(_table(('lab',)))
        metrics.workspaces.count('gone', 'answered')
        assert _samples(metrics) == {('other', 'answered'): 1}

    def test_no_workspaces(self) -> None:
        """Without workspaces nothing is counted or exported."""
        metrics = route_metrics()
        metrics.allow_names_of(table(3))
        metrics.workspaces.count('', 'answered')
        assert _FAMILY.encode() not in metrics.page(_REQUEST).body


def _table(names: Iterable[str]) -> Any:
    workspaces = workspace_table((Workspace(name=name), ()) for name in names)
    return attrs.evolve(table(3), workspaces=workspaces)


def _metrics(names: Iterable[str]) -> RouteMetrics:
    metrics = route_metrics()
    metrics.allow_names_of(_table(names))
    return metrics


def _samples(metrics: RouteMetrics) -> dict[tuple[str, str], float]:
    """Return the exported counts by workspace and outcome."""
    text = metrics.page(_REQUEST).body.decode()
    return {
        (sample.labels['workspace'], sample.labels['outcome']): sample.value
        for family in text_string_to_metric_families(text)
        if family.name == _FAMILY
        for sample in family.samples
    }
