"""The control face of the stand-in, for tests and experiments."""

from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import attrs

from fennelfork_bench.backend_server._codec import parse_message
from fennelfork_bench.backend_server._connection import Listener
from fennelfork_bench.backend_server._faults import FaultOrder
from fennelfork_bench.backend_server._log_page import log_counts, log_page
from fennelfork_bench.backend_server._orders import DrainOrder, SnapshotOrder
from fennelfork_bench.backend_server._response import (
    Response,
    StartResponse,
    bad_request_response,
    json_response,
    read_body,
    send_response,
)
from fennelfork_bench.backend_server._state import ServerState
from fennelfork_bench.backend_server._views import true_health

_Route: TypeAlias = Callable[['ControlApp', bytes], Response]


@attrs.frozen(kw_only=True)
class ControlApp:
    """WSGI application that switches faults, drains and shows the log."""

    state: ServerState
    listener: Listener

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one call."""
        return send_response(self.respond(environ), start_response)

    def respond(self, environ: dict[str, Any]) -> Response:
        """Give the response to one call."""
        name = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        route = _ROUTES.get(name)
        if route is None:
            return bad_request_response(f'unknown call {name}')
        try:
            return route(self, read_body(environ))
        except ValueError as error:
            return bad_request_response(str(error))


def _order_faults(app: ControlApp, body: bytes) -> Response:
    order = parse_message(body, FaultOrder)
    app.state.faults.replace(order.rules)
    app.state.health_fault = order.health
    app.state.frozen_until_ms = app.state.clock.now_ms() + order.freeze_ms
    if order.silence:
        app.listener.silence()
    return json_response(order)


def _order_snapshot(app: ControlApp, body: bytes) -> Response:
    app.state.holdings.apply(parse_message(body, SnapshotOrder))
    return json_response(true_health(app.state))


def _order_drain(app: ControlApp, body: bytes) -> Response:
    app.state.draining = parse_message(body or b'{}', DrainOrder).draining
    return json_response(true_health(app.state))


def _show_counts(app: ControlApp, body: bytes) -> Response:
    return json_response(log_counts(app.state))


def _show_log(app: ControlApp, body: bytes) -> Response:
    return json_response(log_page(app.state))


_ROUTES: Final[dict[str, _Route]] = {
    'POST /control/faults': _order_faults,
    'POST /control/snapshot': _order_snapshot,
    'POST /control/drain': _order_drain,
    'GET /control/log': _show_log,
    'GET /control/counts': _show_counts,
}
