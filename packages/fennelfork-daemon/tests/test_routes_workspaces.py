"""Counts of the requests of workspaces on one daemon, and their page.

Guards against refusals that operators cannot assign to a workspace, and against
metrics that grow with the number of workspaces, or a page that shows a key.
"""

import json
from collections.abc import Iterable
from typing import Any

import attrs
import pytest
from daemon_builders_routes import settings, table
from prometheus_client.parser import text_string_to_metric_families

from fennelfork import ManualTime, manual_clock
from fennelfork.workspaces import Workspace, key_fingerprint, workspace_table
from fennelfork_daemon.http._router import HttpRequest
from fennelfork_daemon.routes._blackboard import route_blackboard
from fennelfork_daemon.routes._metrics import RouteMetrics, route_metrics
from fennelfork_daemon.routes._workspace_page import WorkspacePage

_FAMILY = 'fennelfork_workspace_requests'
_KEY = 'hz6prvnzqjynjcfv8nmp'
_SECOND_FINGERPRINT = key_fingerprint('second-key')
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


class TestPage:
    """The page `GET /workspaces`."""

    def test_workspace(self) -> None:
        """Limits, fingerprints and requests are shown, but no key."""
        lab = Workspace(
            name='lab', rate_per_s=7, burst=9, home_regions=frozenset('ba')
        )
        workspaces = workspace_table([(lab, (_KEY, 'second-key'))])
        reply, page = _page(attrs.evolve(table(3), workspaces=workspaces))
        fingerprints = sorted((key_fingerprint(_KEY), _SECOND_FINGERPRINT))
        assert page == {
            'daemon': 'vm-1',
            'version': 3,
            'without_workspace': {'answered': 0, 'refused': {'unknown_key': 1}},
            'workspaces': [
                {
                    'name': 'lab',
                    'rate_per_s': 7,
                    'burst': 9,
                    'priority': None,
                    'home_regions': ['a', 'b'],
                    'keys': 2,
                    'key_fingerprints': fingerprints,
                    'answered': 1,
                    'refused': {'quota': 1},
                }
            ],
        }
        assert _KEY.encode() not in reply

    def test_many_workspaces(self) -> None:
        """The page of many workspaces is complete."""
        page = _page(_table(f'w{number}' for number in range(600)))[1]
        assert [row['name'] for row in page['workspaces'][-2:]] == [
            'w598',
            'w599',
        ]
        assert len(page['workspaces']) == 600

    @pytest.mark.parametrize(('active', 'version'), [(None, 0), (table(3), 3)])
    def test_no_workspaces(self, active: Any, version: int) -> None:
        """The page is empty without workspaces and without a configuration."""
        page = _page(active)[1]
        assert not page['workspaces']
        assert page['version'] == version


def _page(active: Any) -> tuple[bytes, Any]:
    """Return the page of a daemon that has counted three requests."""
    metrics = route_metrics()
    if active is not None:
        metrics.allow_names_of(active)
    for name, outcome in (
        ('lab', 'answered'),
        ('lab', 'quota'),
        ('', 'unknown_key'),
    ):
        metrics.workspaces.count(name, outcome)
    blackboard = route_blackboard(settings(), manual_clock(ManualTime()))
    blackboard.table = active
    page = WorkspacePage(blackboard=blackboard, counts=metrics.workspaces)
    body = page.show(_REQUEST).body
    return body, json.loads(body)


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
