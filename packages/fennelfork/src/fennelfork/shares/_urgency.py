"""Rank of a request among others."""

import attrs


@attrs.frozen(kw_only=True, order=True)
class Urgency:
    """Rank of a request; the lowest is the most urgent.

    The priority of the workspace decides before that of the route, which
    orders the requests of workspaces with the same priority.

    Attributes:
        workspace: priority of the workspace, or of the route if the request
            has no workspace or the workspace has no priority.
        route: priority of the route.
    """

    workspace: int
    route: int
