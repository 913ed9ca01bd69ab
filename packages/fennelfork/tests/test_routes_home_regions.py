"""Requests of routes with home regions stay in these regions.

Guards against an attempt of any kind that reaches a server elsewhere.
"""

from typing import Any

import pytest
from core_builders_routes import (
    LIMITS,
    SHED,
    UNREACHABLE,
    RoutingDaemon,
    fan_out,
    route,
    server,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import FailureCode, Verdict
from fennelfork.routes import (
    Dispatch,
    Route,
    RouteTable,
    common_home_regions,
    merge_failures,
    route_table,
)

_EAST = frozenset(('east',))
_WEST = frozenset(('west',))
_NOWHERE: frozenset[str] = frozenset()


def _table(*routes: Route) -> RouteTable:
    return route_table(1, routes, (), LIMITS)


def _sent_to(dispatched: Dispatch[Any]) -> set[str]:
    return {
        tried.split('@')[0]
        for sub_request in dispatched.sub_requests.values()
        for tried in sub_request.tried
    }


class TestAttempts:
    """Attempts of one request."""

    def setup_method(self) -> None:
        """Create a daemon with servers in two regions."""
        self.daemon = RoutingDaemon()

    def test_first_attempt_leaves_the_region_of_the_daemon(self) -> None:
        """The only server in a home region is chosen, although it is far."""
        dispatched = self.daemon.dispatch(route(home_regions=_WEST))
        dispatched.start(0)
        assert _sent_to(dispatched) == {'archive/far'}

    def test_retries_and_hedges_stay(self) -> None:
        """With no further server in the home regions, no attempt is sent."""
        dispatched = self.daemon.dispatch(route(home_regions=_EAST))
        first = dispatched.start(0)
        second = dispatched.on_failure(first[0].attempt, SHED, 1)
        dispatched.on_failure(second[0].attempt, SHED, 2)
        dispatched.send_hedges(1000)
        assert _sent_to(dispatched) == {'archive/here', 'archive/near'}

    def test_no_fallback_to_ejected_servers_elsewhere(self) -> None:
        """An ejected server in a home region is preferred to one elsewhere."""
        state = self.daemon.state_of('archive', 'far')
        state.ejection.eject(0)
        dispatched = self.daemon.dispatch(route(home_regions=_WEST))
        dispatched.start(0)
        assert _sent_to(dispatched) == {'archive/far'}

    def test_lost_region_is_refused_at_once(self) -> None:
        """Without a server in the home regions, nothing runs."""
        dispatched = self.daemon.dispatch(route(home_regions=_WEST))
        self.daemon.directory.discard('archive/far')
        assert not dispatched.start(0)
        assert dispatched.finish_reason(0) is not None
        failure = merge_failures(
            dispatched.sub_requests.values(), timed_out=False
        )
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.code is FailureCode.NO_SERVER
        assert failure.retry_after_ms
        assert 'west' in failure.detail

    def test_data_centre_of_unknown_region(self) -> None:
        """A server whose region is unknown is no server of a home region."""
        self.daemon.directory.put(
            server('archive', 'lost', data_centre='unknown')
        )
        dispatched = self.daemon.dispatch(
            route(home_regions=frozenset(('unknown',)))
        )
        assert not dispatched.start(0)

    def test_change_during_the_request(self) -> None:
        """A retry satisfies the old and the new home regions."""
        dispatched = self.daemon.dispatch(route(home_regions=_EAST))
        first = dispatched.start(0)
        self.daemon.active_home_regions = _WEST
        assert not dispatched.on_failure(first[0].attempt, UNREACHABLE, 1)

    @given(
        homes=st.sets(st.sampled_from(['east', 'west', 'north'])),
        failures=st.lists(
            st.sampled_from([SHED, UNREACHABLE, 'response', 'wait']),
            max_size=12,
        ),
    )
    def test_any_order_of_events(
        self, homes: set[str], failures: list[Any]
    ) -> None:
        """No order of failures, responses and hedges leaves the homes."""
        daemon = RoutingDaemon()
        dispatched = daemon.dispatch(
            route(target=fan_out(2), home_regions=frozenset(homes))
        )
        sends = list(dispatched.start(0))
        regions = {'here': 'east', 'near': 'east', 'far': 'west'}
        for number, failure in enumerate(failures):
            now_ms = number * 100.0
            if failure == 'wait' or not sends:
                sends += dispatched.send_hedges(now_ms)
            elif failure == 'response':
                sends += dispatched.on_response(
                    sends.pop(0).attempt, 'part', now_ms
                )
            else:
                sends += dispatched.on_failure(
                    sends.pop(0).attempt, failure, now_ms
                )
        reached = {name.split('/')[1] for name in _sent_to(dispatched)}
        assert {regions[place] for place in reached} <= homes


class TestCombination:
    """Home regions that bind together."""

    @pytest.mark.parametrize(
        ('first', 'second', 'both'),
        [
            (None, None, None),
            (_EAST, None, _EAST),
            (None, _EAST, _EAST),
            (_EAST, _EAST | _WEST, _EAST),
            (_EAST, _WEST, _NOWHERE),
        ],
    )
    def test_intersection(self, first: Any, second: Any, both: Any) -> None:
        """A region has to be in both sets; no set allows every region."""
        assert common_home_regions(first, second) == both

    def test_newer_table(self) -> None:
        """The newest homes of a route bind; a removed route has none."""
        old = route(home_regions=_EAST)
        assert _table(route(home_regions=_WEST)).home_regions_of(old) == _WEST
        assert _table(route()).home_regions_of(old) is None
        assert _table().home_regions_of(old) == _EAST


class TestHosts:
    """Home regions of all routes of a host, for the choice of daemons."""

    def test_hosts(self) -> None:
        """Regions that satisfy all routes of the host are preferred."""
        table = _table(
            route(name='a', prefix='/a/', home_regions=_EAST | _WEST),
            route(name='b', prefix='/b/', home_regions=_WEST),
            route(name='c', prefix='/c/'),
            route(name='d', host='other.example'),
        )
        assert table.home_regions_of_host('rafts.example') == _WEST
        assert table.home_regions_of_host('other.example') is None

    def test_disjoint_routes(self) -> None:
        """Without a common region, the homes of any route are used."""
        table = _table(
            route(name='a', prefix='/a/', home_regions=_EAST),
            route(name='b', prefix='/b/', home_regions=_WEST),
        )
        assert table.home_regions_of_host('rafts.example') == _EAST | _WEST
