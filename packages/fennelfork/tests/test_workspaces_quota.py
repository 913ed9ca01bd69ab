"""Quota of a workspace over all daemons together, at changing loads.

Guards against daemons that together run more requests of a workspace than its
limit, and against refusals below the limit.
"""

import attrs
import pytest
from core_builders_quota import (
    POLICY,
    QuotaFleet,
    owed_count,
    running_fleet,
    workspace,
)
from returns.result import Success

from fennelfork import FailureCode
from fennelfork.workspaces import QuotaPolicy

# Requests per second of a workspace at six times a usual 10 per second.
_DAEMONS = 77
_HOT = 60.0
_CALM = 10.0
_PLAY_MS = 20_000


def _capable(fleet: QuotaFleet) -> list[str]:
    return fleet.names[: fleet.capable]


class TestHotWorkspace:
    """A workspace that sends six times its usual number of requests."""

    @pytest.mark.parametrize('count', [1, 12, 77])
    def test_hot(self, count: int) -> None:
        """The limit holds, and is used, at one, some and all daemons."""
        fleet = running_fleet(_DAEMONS)
        admitted, refused = fleet.play(_PLAY_MS, _HOT, fleet.names[:count])
        assert fleet.worst_excess() <= 0
        assert admitted >= workspace().rate_per_s * _PLAY_MS / 1000
        assert refused > admitted

    def test_moving(self) -> None:
        """The load moves to other daemons each second."""
        fleet = running_fleet(_DAEMONS)
        for second in range(30):
            first = second * 5 % fleet.count
            fleet.play(1000, _HOT, fleet.names[first : first + 5])
        assert fleet.worst_excess() <= 0

    def test_burst_after_calm(self) -> None:
        """Permits that other daemons hold do not use up the burst."""
        fleet = running_fleet(_DAEMONS)
        fleet.play(60_000, _CALM / 2, _capable(fleet))
        fleet.advance(3000)
        burst = [fleet.request('vm-3') for _ in range(6)]
        assert all(burst)
        assert fleet.worst_excess() <= 0

    def test_many_daemons(self) -> None:
        """The limit holds in a fleet of 460 daemons of equal capacity."""
        fleet = QuotaFleet(
            count=460,
            capable=460,
            workspaces={'hot': workspace()},
            view_ms=2000,
        )
        fleet.advance(10_000)
        fleet.play(6000, _HOT, fleet.names)
        assert fleet.worst_excess() <= 0

    def test_retry_after(self) -> None:
        """A refusal names a time after which the workspace has room."""
        fleet = running_fleet(_DAEMONS)
        admitted = [fleet.request('vm-3') for _ in range(200)]
        assert not all(admitted)
        daemon = fleet.daemons['vm-3']
        failure = daemon.quota.admit(workspace(), 500).failure()
        assert failure.code is FailureCode.QUOTA
        assert failure.retry_after_ms is not None
        sent = fleet.sent
        assert not fleet.request('vm-3')
        assert fleet.sent == sent
        fleet.advance(failure.retry_after_ms + 50)
        assert fleet.request('vm-3')


class TestCalmWorkspaces:
    """Workspaces that stay below their limits."""

    def test_calm(self) -> None:
        """Of 81 workspaces of all sizes, at most 1 request in 100 is lost."""
        rates = [8 / rank**1.2 for rank in range(1, 82)]
        limited = [
            workspace(f'ws-{number}', rate * 1.6, max(1, rate * 1.6))
            for number, rate in enumerate(rates)
        ]
        fleet = running_fleet(_DAEMONS, *limited)
        capable = _capable(fleet)
        for _ in range(34 * 20):
            for one, rate in zip(limited, rates, strict=True):
                fleet.send(rate / 20, capable, one.name)
            fleet.step()
        owed = sum(map(owed_count, limited, map(fleet.times_of, limited)))
        runs = sum(map(len, fleet.runs.values()))
        assert runs >= owed * 0.99
        assert fleet.sent < runs

    def test_unlimited(self) -> None:
        """Without limits nothing is sent and nothing is refused."""
        fleet = running_fleet(12, workspace(rate=0, burst=0))
        assert fleet.play(2000, _HOT, fleet.names)[1] == 0
        assert fleet.sent == 0
        assert not fleet.daemons['vm-0'].quota.is_active

    def test_given_back(self) -> None:
        """A request that does not run leaves its permit to another one."""
        fleet = running_fleet(_DAEMONS)
        quota = fleet.daemons['vm-3'].quota
        for _ in range(100):
            decision = quota.admit(workspace(), 500)
            assert isinstance(decision, Success)
            quota.give_back(decision.unwrap())


class TestChangedLimit:
    """Limits that change while a workspace is hot."""

    @pytest.mark.parametrize('rate', [0.5, 2.0])
    def test_lowered(self, rate: float) -> None:
        """A limit far below the load binds one window after the change."""
        fleet = running_fleet(_DAEMONS)
        fleet.play(_PLAY_MS, _HOT, fleet.names)
        lowered = workspace(rate=rate, burst=rate)
        fleet.workspaces = {'hot': lowered}
        fleet.play(1000 + POLICY.window_ms, _HOT, fleet.names)
        fleet.runs.clear()
        fleet.play(_PLAY_MS, _HOT, fleet.names)
        assert fleet.worst_excess(bound=POLICY.max_in_window(lowered)) <= 0

    def test_raised_and_removed(self) -> None:
        """A higher limit and the end of a limit apply at once."""
        fleet = running_fleet(_DAEMONS, workspace(rate=2, burst=2))
        fleet.play(_PLAY_MS, _HOT, fleet.names)
        fleet.workspaces = {'hot': workspace(rate=40, burst=40)}
        fleet.advance(500)
        admitted, _refused = fleet.play(5000, _HOT, fleet.names)
        assert admitted >= 40 * 5
        assert fleet.worst_excess() <= 0
        fleet.workspaces = {'hot': workspace(rate=0)}
        fleet.advance(500)
        assert fleet.play(2000, _HOT, fleet.names)[1] == 0


class TestPolicy:
    """Division of the bound."""

    def test_without_room(self) -> None:
        """Without excess and slack, the owner alone admits the whole limit."""
        policy = QuotaPolicy()
        limits = policy.owner_limits(workspace())
        assert policy.free_in_window(workspace()) == 0
        assert limits.capacity == workspace().burst
        assert limits.rate_per_ms * 5100 == pytest.approx(13 * 5)

    def test_sum(self) -> None:
        """The parts of the owner and the free allowances are the bound."""
        for rate in (0.1, 1, 13, 400):
            one = attrs.evolve(workspace(), rate_per_s=rate, burst=rate)
            limits = POLICY.owner_limits(one)
            of_owner = limits.rate_per_ms * 5100 + limits.capacity
            total = of_owner + POLICY.free_in_window(one)
            assert total == pytest.approx(POLICY.max_in_window(one))
