"""All routes of one version of the configuration."""

from collections.abc import Iterable, Mapping

import attrs

from fennelfork.routes._caller_limits import CallerLimits
from fennelfork.routes._route import Route

_SLASH = '/'


@attrs.frozen(kw_only=True)
class Service:
    """A service as operators describe it.

    Attributes:
        name: of the service.
        connections: most connections to one of its backend servers, of all
            daemons together.
    """

    name: str
    connections: int


@attrs.frozen(kw_only=True)
class RouteTable:
    """Finds the route of a request.

    Attributes:
        version: of the configuration; later versions are greater.
        limits: what callers may send.
        services: by name.
        routes: all routes, in the order of the configuration.
    """

    version: int
    limits: CallerLimits
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    _by_prefix: Mapping[tuple[str, str], Route]

    def find(self, host: str, path: str) -> Route | None:
        """Give the route with the longest prefix that begins the path.

        Prefixes end with a slash, so only the slashes of the path are tried,
        the last one first.
        """
        end = path.rfind(_SLASH)
        while end >= 0:
            found = self._by_prefix.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind(_SLASH, 0, end)
        return None


def route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    limits: CallerLimits,
) -> RouteTable:
    """Build the table of one version."""
    known = tuple(routes)
    return RouteTable(
        version=version,
        limits=limits,
        services={service.name: service for service in services},
        routes=known,
        by_prefix={(route.host, route.prefix): route for route in known},
    )
