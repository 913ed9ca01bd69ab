"""Authorization of requests: their route and their workspace."""

from typing import Final

import attrs
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork.routes import Route, RouteTable
from fennelfork.workspaces import (
    AccessPolicy,
    Workspace,
    WorkspaceTable,
    key_fingerprint,
)
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._caller_request import CallerRequest
from fennelfork_daemon.routes._ports import CallerCodec

# A daemon without routes calls the store several times a second.
_NO_ROUTES_RETRY_MS: Final = 300
_NO_ROUTES_YET: Final = not_run(
    FailureCode.PLATFORM,
    'no configuration is known yet',
    retry_after_ms=_NO_ROUTES_RETRY_MS,
)
# Time in which a daemon reads the store again after a short outage.
_OUTDATED_RETRY_MS: Final = 1000


@attrs.frozen(kw_only=True)
class AuthorizedRequest:
    """Request that may run on a route.

    Attributes:
        caller_request: request as backend servers get it.
        route: route of the request.
        version: version of the configuration that has the route.
    """

    caller_request: CallerRequest
    route: Route
    version: int

    @property
    def workspace(self) -> Workspace | None:
        """Workspace of the request, or None if it has none."""
        return self.caller_request.workspace

    @property
    def left_ms(self) -> float:
        """Time that the caller waits, by default the timeout of the route."""
        if self.caller_request.left_ms is None:
            return self.route.timeout_ms
        return self.caller_request.left_ms


@attrs.frozen(kw_only=True)
class Authorizer:
    """Finds the route and the workspace of each request."""

    _policy: AccessPolicy
    _availability: StoreAvailability
    _codec: CallerCodec

    def authorize(
        self, table: RouteTable | None, caller_request: CallerRequest
    ) -> Result[AuthorizedRequest, Failure]:
        """Decide whether a request may run.

        Args:
            table: active configuration, or None before the first one.
            caller_request: request with the headers of the caller.

        Returns:
            The request without the key of its workspace, or the reason why the
            request is refused.
        """
        if table is None:
            return Bad(_NO_ROUTES_YET)
        route = table.find(caller_request.host, caller_request.path)
        if route is None:
            return Bad(_no_route_failure(caller_request))
        known = self._authorize_on(route, table.workspaces, caller_request)
        return known.map(
            lambda authorized: AuthorizedRequest(
                caller_request=authorized, route=route, version=table.version
            )
        )

    def _authorize_on(
        self,
        route: Route,
        workspaces: WorkspaceTable | None,
        caller_request: CallerRequest,
    ) -> Result[CallerRequest, Failure]:
        """Return the request as backend servers get it, if it may run."""
        if workspaces is None:
            return Success(caller_request)
        if not route.is_public and not self._are_keys_current:
            return Bad(self._outdated_failure())
        workspace = _find_workspace(workspaces, caller_request.keys)
        if workspace is None and not route.is_public:
            return Bad(_unknown_key_failure(caller_request.keys))
        return Success(self._codec.assign_workspace(caller_request, workspace))

    @property
    def _are_keys_current(self) -> bool:
        """Whether the keys of the active configuration may be accepted."""
        return self._policy.trusts(self._availability.data_age_ms)

    def _outdated_failure(self) -> Failure:
        return not_run(
            FailureCode.PLATFORM,
            'keys may have been removed: the configuration was last confirmed '
            f'{self._availability.data_age_ms:.0f} ms ago, the limit is '
            f'{self._policy.revoke_ms:.0f} ms',
            retry_after_ms=_OUTDATED_RETRY_MS,
        )


def _find_workspace(
    workspaces: WorkspaceTable, keys: tuple[str, ...]
) -> Workspace | None:
    """Return the workspace that holds the only key of a request, if any."""
    return workspaces.find(keys[0]) if len(keys) == 1 else None


def _unknown_key_failure(keys: tuple[str, ...]) -> Failure:
    if len(keys) == 1:
        fingerprint = key_fingerprint(keys[0])
        detail = f'no workspace has the key with fingerprint {fingerprint}'
    else:
        detail = f'the request has {len(keys)} keys, expected one'
    return not_run(FailureCode.UNKNOWN_KEY, detail)


def _no_route_failure(caller_request: CallerRequest) -> Failure:
    detail = f'no route matches host {caller_request.host!r} and path {caller_request.path!r}'
    return not_run(FailureCode.UNKNOWN_FRONT, detail)
