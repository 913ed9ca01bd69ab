"""Control interface of the stand-in for tests and experiments."""

from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import attrs

from fennelfork_bench.backend_server._codec import parse_message
from fennelfork_bench.backend_server._commands import (
    DrainCommand,
    SnapshotCommand,
)
from fennelfork_bench.backend_server._connection import Listener
from fennelfork_bench.backend_server._faults import FaultCommand
from fennelfork_bench.backend_server._log_page import log_counts, log_page
from fennelfork_bench.backend_server._reported_status import build_actual_health
from fennelfork_bench.backend_server._response import (
    Response,
    StartResponse,
    bad_request_response,
    json_response,
    read_body,
    send_response,
)
from fennelfork_bench.backend_server._state import ServerState

_Route: TypeAlias = Callable[['ControlApp', bytes], Response]


@attrs.frozen(kw_only=True)
class ControlApp:
    """WSGI application that sets faults and draining and returns the log."""

    state: ServerState
    listener: Listener

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        return send_response(self.respond(environ), start_response)

    def respond(self, environ: dict[str, Any]) -> Response:
        """Return the response to one HTTP request."""
        name = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        route = _ROUTES.get(name)
        if route is None:
            return bad_request_response(f'unknown endpoint: {name}')
        try:
            return route(self, read_body(environ))
        except ValueError as error:
            return bad_request_response(str(error))


def _set_faults(app: ControlApp, body: bytes) -> Response:
    command = parse_message(body, FaultCommand)
    app.state.faults.replace_rules(command.rules)
    app.state.health_fault = command.health
    app.state.frozen_until_ms = app.state.clock.now_ms() + command.freeze_ms
    if command.silence:
        app.listener.drop_traffic()
    return json_response(command)


def _set_snapshot(app: ControlApp, body: bytes) -> Response:
    app.state.snapshots.apply_command(parse_message(body, SnapshotCommand))
    return json_response(build_actual_health(app.state))


def _set_draining(app: ControlApp, body: bytes) -> Response:
    app.state.draining = parse_message(body or b'{}', DrainCommand).draining
    return json_response(build_actual_health(app.state))


def _get_counts(app: ControlApp, body: bytes) -> Response:
    return json_response(log_counts(app.state))


def _get_log(app: ControlApp, body: bytes) -> Response:
    return json_response(log_page(app.state))


_ROUTES: Final[dict[str, _Route]] = {
    'POST /control/faults': _set_faults,
    'POST /control/snapshot': _set_snapshot,
    'POST /control/drain': _set_draining,
    'GET /control/log': _get_log,
    'GET /control/counts': _get_counts,
}
