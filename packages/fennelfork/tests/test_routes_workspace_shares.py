"""Shares of a concurrency limit between workspaces, under simulated load.

Guards against an overload in which a hot workspace or callers that repeat take
the places of all others.
"""

import attrs
import pytest
from core_builders_sharing import Load, ShortQueue, Simulation, shares_of
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.shares import Flow, Shares, Urgency, ranked_rates

_DURATION_MS = 12_000
# Three quarters of what six servers of three slots can run.
_CALM = tuple(
    Load(name=f'calm-{per_s}', per_s=per_s, usual_per_s=per_s)
    for per_s in (50, 30, 20, 15, 10, 8, 6, 4, 2, 1)
)
_NAMES = tuple(load.name for load in _CALM)


def _scaled(factor: float, loads: tuple[Load, ...] = _CALM) -> list[Load]:
    return [
        attrs.evolve(load, per_s=load.usual_per_s * factor) for load in loads
    ]


def _simulate(loads: list[Load], **changes: object) -> Simulation:
    simulation = Simulation(loads=loads, **changes)
    simulation.run(_DURATION_MS)
    return simulation


def _lowest(simulation: Simulation) -> int:
    """Return the lowest percentage of a workspace, 100 if all are equal."""
    lowest = min(simulation.percent(name) for name in simulation.owed)
    return 100 * lowest // simulation.percent()


class TestHotWorkspace:
    """One workspace sends six times its usual, as much as all others."""

    loads = [*_CALM, Load(name='hot', per_s=180, usual_per_s=30)]

    @pytest.mark.parametrize('seed', [1, 2, 3])
    @pytest.mark.parametrize(('daemons', 'others'), [(1, 88), (12, 75)])
    def test_pays_for_its_surplus(
        self, seed: int, daemons: int, others: int
    ) -> None:
        """The others are served nearly as on a calm day; it is not starved.

        Of twelve daemons, none reaches its own limit.
        """
        without = _simulate(
            self.loads, seed=seed, daemons=daemons, shared=False
        )
        simulation = _simulate(self.loads, seed=seed, daemons=daemons)
        assert without.percent(*_NAMES) < 65
        assert simulation.percent(*_NAMES) > others
        assert _lowest(simulation) > 25
        assert simulation.percent() > without.percent() - 5

    def test_short_queue(self) -> None:
        """Requests that wait for a share make others late at the servers."""
        queue = ShortQueue(shares=shares_of(self.loads))
        queued = _simulate(self.loads, shared=False, queue=queue)
        assert queued.percent(*_NAMES) > 90
        assert queued.percent() < _simulate(self.loads).percent()


class TestBurst:
    """All workspaces send 2.4 times their usual to six servers of three slots."""

    def test_is_shared(self) -> None:
        """As much is served as without shares, and no workspace is starved."""
        loads = _scaled(2.4)
        simulation = _simulate(loads)
        without = _simulate(loads, shared=False)
        assert simulation.percent() > without.percent() - 5
        assert _lowest(simulation) > 70


class TestUrgentClass:
    """The urgent requests are 1.9 times their usual."""

    @pytest.mark.parametrize('of', ['priority', 'route_priority'])
    def test_is_first(self, of: str) -> None:
        """Urgent requests are served, and the others are not starved.

        The priority of workspaces decides, and among equal ones that of routes.
        """
        other = Load(name='other', per_s=100, usual_per_s=100, **{of: 1})
        simulation = _simulate([*_scaled(1.9)[1:], other])
        assert simulation.percent(*_NAMES[1:]) > 90
        assert _lowest(simulation) > 25


class TestRepeats:
    """Half of the callers repeat a refused request three times at once."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_early_returns_pay_first(self, seed: int) -> None:
        """Callers that wait as long as they are told are served more often."""
        rude = [
            attrs.evolve(
                load, name=f'rude-{load.name}', repeats=3, owner=load.name
            )
            for load in _CALM
        ]
        simulation = _simulate(
            [*_scaled(1.4), *_scaled(1.4, tuple(rude))], seed=seed
        )
        rude_names = [load.name for load in rude]
        assert simulation.percent(*_NAMES) > simulation.percent(*rude_names) + 3


_OFFERED = st.dictionaries(
    st.builds(Urgency, workspace=st.integers(0, 2), route=st.integers(0, 2)),
    st.dictionaries(
        st.sampled_from('abcd').map(
            lambda name: Flow(tenant=name, traffic_class='')
        ),
        st.floats(0.01, 100),
        min_size=1,
    ),
    min_size=1,
)


@given(_OFFERED, st.floats(0.1, 500))
def test_ranked_rates(
    offered: dict[Urgency, dict[Flow, float]], capacity: float
) -> None:
    """The capacity is allocated, no flow is starved, and priority decides."""
    granted = ranked_rates(offered, Shares(tenants={'a': 3}), capacity)
    total = sum(sum(rates.values()) for rates in offered.values())
    served = min(1, capacity / total)
    assert sum(
        sum(rates.values()) for rates in granted.values()
    ) == pytest.approx(min(capacity, total))
    is_short = False
    for urgency in sorted(offered):
        for flow, rate in offered[urgency].items():
            assert granted[urgency][flow] >= 0.33 * served * rate
            if is_short:
                assert granted[urgency][flow] <= 0.34 * served * rate
        is_short = is_short or sum(granted[urgency].values()) < 0.999 * sum(
            offered[urgency].values()
        )
