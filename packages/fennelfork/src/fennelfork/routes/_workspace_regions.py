"""Home regions of workspaces, which bind in addition to those of routes."""

from collections.abc import Callable

import attrs

from fennelfork.routes._home_regions import HomeRegions, common_home_regions
from fennelfork.routes._route import Route
from fennelfork.routes._sender import DispatchParts
from fennelfork.workspaces import Workspace


def bind_workspace(
    parts: DispatchParts,
    workspace: Workspace | None,
    find_current: Callable[[str], Workspace | None],
) -> DispatchParts:
    """Return the components for the requests of a workspace.

    The attempts satisfy the home regions of the workspace at the arrival of the
    request and those of the active version of the configuration.

    Args:
        parts: components that all dispatches share.
        workspace: workspace of the request at its arrival, if any.
        find_current: returns the workspace of a name in the active version,
            or None if the workspace was removed.
    """
    if workspace is None:
        return parts

    def home_regions_of(route: Route) -> HomeRegions:  # noqa: WPS430
        current = find_current(workspace.name) or workspace
        return common_home_regions(
            parts.home_regions_of(route),
            common_home_regions(workspace.home_regions, current.home_regions),
        )

    return attrs.evolve(parts, home_regions_of=home_regions_of)
