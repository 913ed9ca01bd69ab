"""Operator API of a daemon that serves routes."""

import http
from typing import Any, Final

import attrs

from fennelfork import FailureCode, not_run
from fennelfork.routes import Quarantine, SuspicionRecord
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    Router,
    failure_reply,
    json_reply,
    router,
)
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._fleet_page import FleetPage
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._metrics import RouteMetrics
from fennelfork_daemon.routes._workspace_page import WorkspacePage

_PATH: Final = '/quarantine'
_UNKNOWN: Final = not_run(
    FailureCode.UNKNOWN_FRONT,
    'no request with this fingerprint is suspected or quarantined',
)


@attrs.frozen(kw_only=True)
class _QuarantineHandlers:
    """Handlers that list and release poison requests."""

    _quarantine: Quarantine
    _guard: RequestGuard

    def show(self, request: HttpRequest) -> HttpReply:
        """Return the status of all requests with recorded crashes."""
        records = self._quarantine.records
        return json_reply(
            {'requests': [_to_json(record) for record in records]}
        )

    def release(self, request: HttpRequest) -> HttpReply:
        """Release a request from quarantine, on all daemons."""
        if not self._guard.release(request.names['fingerprint']):
            return failure_reply(_UNKNOWN)
        return HttpReply(
            status=int(http.HTTPStatus.NO_CONTENT),
            headers=(),
            body=b'',
        )


def operator_api(
    metrics: RouteMetrics,
    blackboard: RouteBlackboard,
    guard: RequestGuard,
    fleet_page: FleetPage,
) -> Router:
    """Build the API of metrics, fleet, workspaces and the quarantine."""
    handlers = _QuarantineHandlers(
        quarantine=blackboard.quarantine, guard=guard
    )
    workspace_page = WorkspacePage(
        blackboard=blackboard, counts=metrics.workspaces
    )
    return router(
        (
            Route(method='GET', path='/metrics', handler=metrics.page),
            Route(method='GET', path='/fleet', handler=fleet_page.show),
            Route(
                method='GET', path='/workspaces', handler=workspace_page.show
            ),
            Route(method='GET', path=_PATH, handler=handlers.show),
            Route(
                method='DELETE',
                path=f'{_PATH}/{{fingerprint}}',
                handler=handlers.release,
            ),
        ),
    )


def _to_json(record: SuspicionRecord) -> dict[str, Any]:
    return {
        'fingerprint': record.fingerprint,
        'standing': record.status.value,
        'rounds': record.isolated_crashes,
        'trials': record.trials,
        'ended_ms': record.last_crash_ms,
        'ends': [attrs.asdict(crash) for crash in record.crashes],
    }
