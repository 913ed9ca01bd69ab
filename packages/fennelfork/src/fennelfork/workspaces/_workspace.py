"""Workspace: an owner of requests, with a limit and a rank of its own."""

import attrs


@attrs.frozen(kw_only=True)
class Workspace:
    """Configuration of one workspace.

    Attributes:
        name: name that is unique within the configuration; backend servers
            learn it with each request.
        rate_per_s: requests per second that all daemons together may run; 0 if
            there is no limit.
        burst: requests that may run in addition to the rate, at once.
        priority: rank of the requests of the workspace, where 0 is the most
            urgent; None to use the priority of the route.
        home_regions: only regions whose backend servers may run the requests;
            None for any region.
    """

    name: str
    rate_per_s: float = 0
    burst: float = 0
    priority: int | None = None
    home_regions: frozenset[str] | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the number of requests that may run is limited."""
        return self.rate_per_s > 0
