"""What operators ask a daemon that serves routes."""

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
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._metrics import RouteMetrics

_PATH: Final = '/quarantine'
_UNKNOWN: Final = not_run(
    FailureCode.UNKNOWN_FRONT,
    'nothing is held against a request of this fingerprint',
)


@attrs.frozen(kw_only=True)
class _QuarantinePages:
    """Shows the requests that ended servers, and lets them through again."""

    _quarantine: Quarantine
    _guard: RequestGuard

    def show(self, request: HttpRequest) -> HttpReply:
        """List all that are remembered."""
        records = self._quarantine.records
        return json_reply({'requests': [_tree(one) for one in records]})

    def release(self, request: HttpRequest) -> HttpReply:
        """Let one through again, at all daemons."""
        if not self._guard.release(request.names['fingerprint']):
            return failure_reply(_UNKNOWN)
        return HttpReply(
            status=int(http.HTTPStatus.NO_CONTENT),
            headers=(),
            body=b'',
        )


def operator_face(
    metrics: RouteMetrics,
    quarantine: Quarantine,
    guard: RequestGuard,
) -> Router:
    """Build the face that serves metrics and the quarantine."""
    pages = _QuarantinePages(quarantine=quarantine, guard=guard)
    return router(
        (
            Route(method='GET', path='/metrics', handler=metrics.page),
            Route(method='GET', path=_PATH, handler=pages.show),
            Route(
                method='DELETE',
                path=f'{_PATH}/{{fingerprint}}',
                handler=pages.release,
            ),
        ),
    )


def _tree(record: SuspicionRecord) -> dict[str, Any]:
    return {
        'fingerprint': record.fingerprint,
        'standing': record.status.value,
        'rounds': record.isolated_crashes,
        'trials': record.trials,
        'ended_ms': record.last_crash_ms,
        'ends': [attrs.asdict(end) for end in record.crashes],
    }
