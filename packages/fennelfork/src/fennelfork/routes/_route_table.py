"""Table of all routes of one configuration version."""

from collections.abc import Iterable, Mapping

import attrs

from fennelfork.routes._caller_limits import CallerLimits
from fennelfork.routes._home_regions import (
    HomeRegions,
    preferred_home_regions,
)
from fennelfork.routes._route import Route
from fennelfork.workspaces import Workspace, WorkspaceTable

_SLASH = '/'


@attrs.frozen(kw_only=True)
class Service:
    """Service in the configuration.

    Attributes:
        name: name of the service.
        connections: maximum number of connections of all daemons together to
            one backend server of the service.
        warm_up_ms: time for which a server is cold after its start.
        cold_rate_per_s: requests per second that a cold server tolerates; 0 if
            there is no limit.
    """

    name: str
    connections: int
    warm_up_ms: float = 0
    cold_rate_per_s: float = 0


@attrs.frozen(kw_only=True)
class RouteTable:
    """Maps requests to routes.

    Attributes:
        version: configuration version; later versions are greater.
        limits: limits on the requests of callers.
        services: services, by name.
        routes: all routes, in the order of the configuration.
        workspaces: all workspaces, or None if requests need no key.
    """

    version: int
    limits: CallerLimits
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    workspaces: WorkspaceTable | None = None
    _by_prefix: Mapping[tuple[str, str], Route]
    _by_name: Mapping[str, Route]
    _home_regions_by_host: Mapping[str, HomeRegions]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any.

        Prefixes end with a slash, so the path is cut after each slash, from
        the last to the first.
        """
        end = path.rfind(_SLASH)
        while end >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None

    def home_regions_of(self, route: Route) -> HomeRegions:
        """Return the current home regions of a route of any version.

        A route that was removed keeps the home regions that it had.
        """
        return self._by_name.get(route.name, route).home_regions

    def find_workspace(self, name: str) -> Workspace | None:
        """Return the workspace of a name, if there is one."""
        if self.workspaces is None:
            return None
        return self.workspaces.by_name.get(name)

    def home_regions_of_host(self, host: str) -> HomeRegions:
        """Return the regions in which callers of a host are served best."""
        return self._home_regions_by_host.get(host)


def route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    limits: CallerLimits,
    workspaces: WorkspaceTable | None = None,
) -> RouteTable:
    """Create the route table of one configuration version."""
    known = tuple(routes)
    return RouteTable(
        version=version,
        limits=limits,
        services={service.name: service for service in services},
        routes=known,
        workspaces=workspaces,
        by_prefix={(route.host, route.prefix): route for route in known},
        by_name={route.name: route for route in known},
        home_regions_by_host=_home_regions_by_host(known),
    )


def _home_regions_by_host(routes: Iterable[Route]) -> dict[str, HomeRegions]:
    """Return the preferred home regions of each host that has any."""
    by_host: dict[str, list[HomeRegions]] = {}
    for route in routes:
        if route.home_regions is not None:
            by_host.setdefault(route.host, []).append(route.home_regions)
    return {
        host: preferred_home_regions(by_route)
        for host, by_route in by_host.items()
    }
