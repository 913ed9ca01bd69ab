"""Metrics of routes.

Guards against refusals whose reason an operator cannot see, and against a
number of label values that grows with the names of dropped routes.
"""

from typing import Any

from daemon_builders_routes import table

from fennelfork.routes import RefusalReason
from fennelfork_daemon.metrics._labels import OTHER
from fennelfork_daemon.routes._metrics import route_metrics


def test_overload_refusals() -> None:
    """Refusals are counted by known route and by reason."""
    metrics = route_metrics()
    metrics.allow_names_of(table(1))
    metrics.count_overload_refusal('r/rafts/', RefusalReason.WORKSPACE_SHARE)
    metrics.count_overload_refusal('dropped', RefusalReason.LIMIT)
    request: Any = None
    page = metrics.page(request).body.decode()
    name = 'fennelfork_overload_refusals_total'
    known = f'{name}{{reason="workspace_share",route="r/rafts/"}} 1.0'
    other = f'{name}{{reason="limit",route="{OTHER}"}} 1.0'
    assert {known, other} <= set(page.splitlines())
