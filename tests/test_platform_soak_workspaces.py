"""Rounds of the soak with workspaces, and tests of their checks."""

from pathlib import Path

import pytest

from fennelfork_platform_bench.soak._round import Size, run_platform_round
from fennelfork_platform_bench.soak._workspace_checks import (
    CallerOfWorkspace,
    KeyedArrival,
    find_excess_runs,
    find_wrong_identities,
    read_keyed_arrivals,
)


@pytest.mark.process
class TestWorkspaceRounds:
    """Rounds with a hot, a calm and a revoked workspace."""

    def test_round(self) -> None:
        """Keys and limits hold over all daemons while faults overlap.

        Guards against runs without a valid key and beyond a limit.
        """
        assert not run_platform_round(5, Size(), with_workspaces=True).broken


class TestIdentities:
    """Workspaces that backend servers receive."""

    def test_own_workspace(self) -> None:
        """The name of the workspace without the key is accepted."""
        assert not list(find_wrong_identities('calm', [_arrival()]))

    @pytest.mark.parametrize(
        ('workspace', 'arrival'),
        [
            ('hot', {}),
            ('', {}),
            ('calm', {'has_key': True}),
            ('calm', {'workspace': ''}),
        ],
    )
    def test_wrong(self, workspace: str, arrival: dict[str, object]) -> None:
        """Another workspace, an unknown key or a forwarded key is reported."""
        found = list(find_wrong_identities(workspace, [_arrival(**arrival)]))
        assert len(found) == 1

    def test_truncated_line(self, tmp_path: Path) -> None:
        """The last line of a killed server is ignored."""
        path = tmp_path / 'server.out'
        line = (
            '{"keyed": "a", "at_s": 2.5, "workspace": "hot", "has_key": false}'
        )
        path.write_text(f'{line}\n{line[:20]}')
        assert read_keyed_arrivals([path]) == [
            _arrival(request_id='a', at_s=2.5, workspace='hot')
        ]


class TestExcessRuns:
    """Runs beyond the limit: 4 a second and 4 at once, 46 in 5 s."""

    def test_at_the_limit(self) -> None:
        """The highest allowed number in one window is accepted."""
        assert not self._find(46, 4.9)

    def test_beyond_the_limit(self) -> None:
        """One request more in the same window is reported."""
        assert self._find(47, 4.9)

    def test_longer_than_the_window(self) -> None:
        """The same number in a longer time is accepted."""
        assert not self._find(47, 5.1)

    def test_hedges_count_once(self) -> None:
        """A request that two servers ran is one request."""
        assert not self._find(46, 4.9, copies=2)

    def _find(self, count: int, span_s: float, copies: int = 1) -> list[str]:
        limited = CallerOfWorkspace(
            workspace='hot', rate_per_s=4, burst=4, caller=None
        )
        arrivals = [
            _arrival(request_id=str(number), at_s=number * span_s / (count - 1))
            for number in range(count)
            for _copy in range(copies)
        ]
        return list(find_excess_runs(limited, arrivals))


def _arrival(**fields: object) -> KeyedArrival:
    known = {
        'request_id': 'keyed-calm-1',
        'at_s': 0,
        'workspace': 'calm',
        'has_key': False,
    }
    return KeyedArrival(**{**known, **fields})
