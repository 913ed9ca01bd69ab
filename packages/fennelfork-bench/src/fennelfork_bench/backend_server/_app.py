"""WSGI application with the endpoints of the stand-in backend server."""

import functools
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import attrs
from eventlet import sleep, wsgi
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Failure
from fennelfork_bench.backend_server._codec import parse_message
from fennelfork_bench.backend_server._connection import (
    CONNECTION_KEY,
    ServerConnection,
)
from fennelfork_bench.backend_server._control import ControlApp
from fennelfork_bench.backend_server._delivery import ReplyFaults
from fennelfork_bench.backend_server._engine import (
    build_execute_subject,
    build_search_subject,
    cancel,
    execute,
    search,
    wait_while_frozen,
)
from fennelfork_bench.backend_server._faults import FaultRule
from fennelfork_bench.backend_server._log import EventKind, Subject
from fennelfork_bench.backend_server._messages import (
    CancelRequest,
    ExecuteRequest,
    MultiSearchRequest,
    SearchRequest,
)
from fennelfork_bench.backend_server._multi import run_searches
from fennelfork_bench.backend_server._reported_status import ReportedStatus
from fennelfork_bench.backend_server._response import (
    Response,
    StartResponse,
    bad_request_response,
    failure_response,
    json_response,
    read_body,
    send_response,
)
from fennelfork_bench.backend_server._state import ServerState

_Route: TypeAlias = Callable[
    ['BackendApp', ServerConnection, bytes], Response | None
]

_MS_PER_SECOND: Final = 1000


@attrs.frozen(kw_only=True)
class BackendApp:
    """WSGI application of one stand-in server."""

    state: ServerState
    reported_status: ReportedStatus
    reply_faults: ReplyFaults
    control: ControlApp

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        if environ['PATH_INFO'].startswith('/control/'):
            return self.control(environ, start_response)
        connection = environ[CONNECTION_KEY]
        response = (
            None
            if connection.is_unresponsive
            else self._respond(environ, connection)
        )
        if connection.is_unresponsive:
            connection.discard_input()
        if response is None or connection.is_unresponsive:
            return _send_nothing()
        return send_response(response, start_response)

    def deliver(
        self,
        connection: ServerConnection,
        subject: Subject,
        reply: Any,
        faults: Iterable[FaultRule],
    ) -> Response | None:
        """Return the response that contains a reply, or none to send nothing."""
        for rule in faults:
            self.state.log.add(EventKind.FAULT, subject, rule.kind.value)
        delivery = self.reply_faults.prepare_delivery(reply, faults)
        connection.closes_after_reply = (
            delivery.is_dropped or delivery.sent_bytes < len(delivery.body)
        )
        connection.is_unresponsive = (
            connection.is_unresponsive or delivery.is_withheld
        )
        if delivery.is_dropped or connection.is_unresponsive:
            return None
        self.state.log.add(EventKind.REPLIED, subject)
        return Response(body=delivery.body, sent_bytes=delivery.sent_bytes)

    def _respond(
        self, environ: dict[str, Any], connection: ServerConnection
    ) -> Response | None:
        self._delay_for_network()
        wait_while_frozen(self.state)
        name = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        route = _ROUTES.get(name)
        if route is None:
            return bad_request_response(f'unknown endpoint: {name}')
        try:
            response = route(self, connection, read_body(environ))
        except ValueError as error:
            return bad_request_response(str(error))
        self._delay_for_network()
        wait_while_frozen(self.state)
        return response

    def _delay_for_network(self) -> None:
        if self.state.settings.link_ms > 0:
            sleep(self.state.settings.link_ms / _MS_PER_SECOND)


def _send_nothing() -> Iterable[bytes]:
    """Make the WSGI server close the connection without a response."""
    wsgi.WSGI_LOCAL.already_handled = True
    return []


def _search(
    app: BackendApp, connection: ServerConnection, body: bytes
) -> Response | None:
    request = parse_message(body, SearchRequest)
    run = functools.partial(search, app.state, request)
    return _run_request(app, connection, build_search_subject(request), run)


def _multi_search(
    app: BackendApp, connection: ServerConnection, body: bytes
) -> Response:
    if not app.state.settings.multi_search:
        return bad_request_response('this server does not support multi-search')
    request = parse_message(body, MultiSearchRequest)
    return json_response(run_searches(app.state, app.reply_faults, request))


def _execute(
    app: BackendApp, connection: ServerConnection, body: bytes
) -> Response | None:
    request = parse_message(body, ExecuteRequest)
    run = functools.partial(execute, app.state, request)
    return _run_request(app, connection, build_execute_subject(request), run)


def _run_request(
    app: BackendApp,
    connection: ServerConnection,
    subject: Subject,
    run: Callable[[Iterable[FaultRule]], Result[Any, Failure]],
) -> Response | None:
    """Run a request with its faults and deliver the reply."""
    app.state.log.add(EventKind.RECEIVED, subject)
    faults = app.state.faults.draw_faults(subject.call)
    outcome = run(faults)
    if is_successful(outcome):
        return app.deliver(connection, subject, outcome.unwrap(), faults)
    held = app.state.snapshots.held_snapshots
    return failure_response(subject, outcome.failure(), held)


def _cancel(
    app: BackendApp, connection: ServerConnection, body: bytes
) -> Response:
    return json_response(cancel(app.state, parse_message(body, CancelRequest)))


def _health(
    app: BackendApp, connection: ServerConnection, body: bytes
) -> Response:
    return json_response(app.reported_status.health())


def _load(
    app: BackendApp, connection: ServerConnection, body: bytes
) -> Response:
    return json_response(app.reported_status.load())


_ROUTES: Final[dict[str, _Route]] = {
    'POST /v1/search': _search,
    'POST /v1/multi-search': _multi_search,
    'POST /v1/execute': _execute,
    'POST /v1/cancel': _cancel,
    'GET /v1/health': _health,
    'GET /v1/load': _load,
}
