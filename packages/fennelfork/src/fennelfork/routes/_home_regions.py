"""Home regions: the only regions that may run the requests of a route."""

from collections.abc import Iterable

# None if any region may run the requests; an empty set if none may.
HomeRegions = frozenset[str] | None


def common_home_regions(first: HomeRegions, second: HomeRegions) -> HomeRegions:
    """Return the regions that both sets of home regions allow."""
    if first is None:
        return second
    if second is None:
        return first
    return first & second


def preferred_home_regions(
    by_route: Iterable[HomeRegions],
) -> HomeRegions:
    """Return the best regions for callers of several routes.

    These are the regions that all routes allow or, if there is no such region,
    the regions that any of them allows.

    Args:
        by_route: home regions of each route.
    """
    bound = [regions for regions in by_route if regions is not None]
    if not bound:
        return None
    return frozenset.intersection(*bound) or frozenset.union(*bound)
