"""Counts of the requests of each workspace on this daemon."""

import heapq
from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from typing import Final

import attrs
from prometheus_client.metrics_core import CounterMetricFamily

from fennelfork_daemon.metrics._known_names import OTHER

ANSWERED: Final = 'answered'
# Requests that belong to no workspace. No workspace has an empty name.
NO_WORKSPACE: Final = ''
# Bounds the number of time series for each outcome.
_MAX_NAMES: Final = 64

# Counts by outcome and name.
_Counts = dict[str, Counter[str]]


@attrs.define(kw_only=True, eq=False)
class WorkspaceCounts:
    """Counts of requests by workspace and outcome.

    The counts are exact for each configured workspace. Metrics name only the
    workspaces that have most requests when the metrics are read; a time series
    counts the requests while its workspace is among them, so that no series
    ever decreases.
    """

    _configured: Collection[str] = ()
    _busiest: set[str] = attrs.field(factory=set)
    _totals: _Counts = attrs.field(factory=dict)
    _exported: _Counts = attrs.field(factory=dict)

    def set_names(self, names: Collection[str]) -> None:
        """Replace the names of the configured workspaces.

        Args:
            names: names, which are not copied.
        """
        self._configured = names
        for by_name in (*self._totals.values(), *self._exported.values()):
            for name in tuple(by_name):
                if not self._is_kept(name):
                    by_name.pop(name)
        self._rank()

    def count(self, name: str, outcome: str) -> None:
        """Count a request, if any workspace is configured.

        Args:
            name: name of the workspace, empty for none.
            outcome: `answered` or the failure code of a refusal.
        """
        if not self._configured:
            return
        _increase(self._totals, outcome, self._known(name))
        _increase(self._exported, outcome, self._label(name))

    def of(self, name: str) -> Mapping[str, int]:
        """Return the counts of one workspace by outcome, without zeros.

        Args:
            name: name of the workspace, empty for requests without one.
        """
        return {
            outcome: by_name[name]
            for outcome, by_name in sorted(self._totals.items())
            if by_name[name]
        }

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Export the counts of the busiest workspaces and of the others."""
        family = CounterMetricFamily(
            'fennelfork_workspace_requests',
            'Requests by workspace, and whether or why not they were answered.',
            labels=('workspace', 'outcome'),
        )
        labels = self._busiest | {NO_WORKSPACE, OTHER}
        for outcome, by_name in self._exported.items():
            for name in sorted(by_name.keys() & labels):
                family.add_metric((name, outcome), by_name[name])
        self._rank()
        if family.samples:
            yield family

    def _rank(self) -> None:
        """Choose the workspaces that the metrics name from now on."""
        requests: Counter[str] = Counter()
        for by_name in self._totals.values():
            requests.update(by_name)
        ranked = heapq.nlargest(
            _MAX_NAMES,
            (name for name in requests if name in self._configured),
            # Of two equally busy workspaces, the one with a series keeps it.
            key=lambda name: (requests[name], name in self._busiest),
        )
        self._busiest = set(ranked)

    def _is_kept(self, name: str) -> bool:
        """Whether the counts under a name or label may stay."""
        if not self._configured:
            return False
        return name in self._configured or name in {NO_WORKSPACE, OTHER}

    def _known(self, name: str) -> str:
        return name if name in self._configured or not name else OTHER

    def _label(self, name: str) -> str:
        """Return the label of a workspace, which may be a new one."""
        if name not in self._configured:
            return self._known(name)
        if name in self._busiest:
            return name
        if len(self._busiest) >= _MAX_NAMES:
            return OTHER
        self._busiest.add(name)
        return name


def _increase(counts: _Counts, outcome: str, name: str) -> None:
    counts.setdefault(outcome, Counter())[name] += 1
