"""What a workspace changes for its requests.

Guards against attempts outside of the home regions of a workspace, and against
removed keys that stay in use.
"""

from core_builders_routes import LIMITS, UNREACHABLE, RoutingDaemon, route
from core_builders_workspaces import workspace
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    FleetMaximum,
    bind_workspace,
    route_table,
    store_polling,
)
from fennelfork.workspaces import AccessPolicy, Workspace, workspace_table

_EAST = frozenset(('east',))
_WEST = frozenset(('west',))
# Daemons between a daemon and the store in a data centre of 585 daemons.
_MAX_RELAYS = 3
_RELAY_DELAY_MS = 150


class TestHomeRegions:
    """Home regions of a workspace."""

    def setup_method(self) -> None:
        """Create a daemon with servers in two regions."""
        self.daemon = RoutingDaemon()
        self.current: Workspace | None = None

    def test_first_attempt(self) -> None:
        """The homes of the workspace bind in addition to those of a route."""
        self._bind(workspace(home_regions=_WEST))
        sends = self.daemon.dispatch(route()).start(0)
        assert [send.server.data_centre for send in sends] == ['far']
        assert not self.daemon.dispatch(route(home_regions=_EAST)).start(0)

    def test_change_during_the_request(self) -> None:
        """A retry satisfies the homes at the arrival and the newest ones."""
        self._bind(workspace(home_regions=_EAST))
        dispatched = self.daemon.dispatch(route())
        first = dispatched.start(0)
        self.current = workspace(home_regions=_WEST)
        assert not dispatched.on_failure(first[0].attempt, UNREACHABLE, 1)

    def test_removed_workspace(self) -> None:
        """A request in flight keeps the homes of a removed workspace."""
        self._bind(workspace(home_regions=_WEST))
        self.current = None
        sends = self.daemon.dispatch(route()).start(0)
        assert [send.server.data_centre for send in sends] == ['far']

    def test_no_workspace(self) -> None:
        """Requests without a workspace share the same components."""
        parts = self.daemon.parts
        assert bind_workspace(parts, None, lambda name: None) is parts

    def _bind(self, bound: Workspace) -> None:
        self.current = bound
        self.daemon.parts = bind_workspace(
            self.daemon.parts, bound, lambda name: self.current
        )


class TestTable:
    """Workspaces of a configuration version."""

    def test_optional(self) -> None:
        """A configuration without workspaces has no table of them."""
        table = route_table(1, (), (), LIMITS)
        assert table.workspaces is None
        assert table.find_workspace('lab') is None

    def test_find(self) -> None:
        """Workspaces are found by name."""
        known = workspace_table([(workspace(), ('a',))])
        table = route_table(1, (), (), LIMITS, known)
        assert table.find_workspace('lab') == workspace()
        assert table.find_workspace('farm') is None


class TestStrictPolicy:
    """Age of the configuration with which keys are accepted."""

    def test_not_strict(self) -> None:
        """Without the strict policy, old keys are used on."""
        policy = AccessPolicy(is_strict=False, revoke_ms=1)
        assert policy.trusts(10**9)
        assert policy.max_age_ms(3000) == 3000

    def test_strict(self) -> None:
        """With the strict policy, keys are accepted up to the bound."""
        policy = AccessPolicy(is_strict=True, revoke_ms=5000)
        assert policy.trusts(5000)
        assert not policy.trusts(5001)

    @given(
        revoke_ms=st.floats(min_value=3000, max_value=60_000),
        change_bound_ms=st.floats(min_value=1000, max_value=60_000),
    )
    def test_healthy_daemon(
        self, revoke_ms: float, change_bound_ms: float
    ) -> None:
        """A daemon behind relays learns in time that nothing has changed."""
        policy = AccessPolicy(is_strict=True, revoke_ms=revoke_ms)
        clock = manual_clock(ManualTime())
        polling = store_polling(
            FleetMaximum(clock=clock, window_ms=1000),
            policy.max_age_ms(change_bound_ms),
        )
        watch = polling.watch_timeouts(0, 0)
        relayed_ms = polling.relay_timeouts().wait_ms + _RELAY_DELAY_MS
        age_ms = watch.wait_ms + _MAX_RELAYS * relayed_ms
        assert policy.trusts(age_ms)
