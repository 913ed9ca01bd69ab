"""The calls of the stand-in backend server, as a WSGI application."""

import functools
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import attrs
from eventlet import sleep, wsgi
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Failure
from fennelfork_bench.backend_server._codec import parse_message
from fennelfork_bench.backend_server._connection import LINK_KEY, Link
from fennelfork_bench.backend_server._control import ControlApp
from fennelfork_bench.backend_server._delivery import Spoiler
from fennelfork_bench.backend_server._engine import (
    cancel,
    execute,
    execute_subject,
    search,
    search_subject,
    wait_until_thawed,
)
from fennelfork_bench.backend_server._faults import FaultRule
from fennelfork_bench.backend_server._log import EventKind, Subject
from fennelfork_bench.backend_server._messages import (
    CancelRequest,
    ExecuteRequest,
    MultiSearchRequest,
    SearchRequest,
)
from fennelfork_bench.backend_server._multi import search_all
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
from fennelfork_bench.backend_server._views import Views

_Route: TypeAlias = Callable[['BackendApp', Link, bytes], Response | None]

_MS_PER_SECOND: Final = 1000


@attrs.frozen(kw_only=True)
class BackendApp:
    """WSGI application of one stand-in server."""

    state: ServerState
    views: Views
    spoiler: Spoiler
    control: ControlApp

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one call."""
        if environ['PATH_INFO'].startswith('/control/'):
            return self.control(environ, start_response)
        link = environ[LINK_KEY]
        response = None if link.silent else self._respond(environ, link)
        if link.silent:
            link.hold()
        if response is None or link.silent:
            return _send_nothing()
        return send_response(response, start_response)

    def deliver(
        self,
        link: Link,
        subject: Subject,
        reply: Any,
        faults: Iterable[FaultRule],
    ) -> Response | None:
        """Give the response that carries a reply, or none to send nothing."""
        for rule in faults:
            self.state.log.add(EventKind.FAULT, subject, rule.kind.value)
        delivery = self.spoiler.deliver(reply, faults)
        link.cut = delivery.lost or delivery.sent < len(delivery.body)
        link.silent = link.silent or delivery.muted
        if delivery.lost or link.silent:
            return None
        self.state.log.add(EventKind.REPLIED, subject)
        return Response(body=delivery.body, sent=delivery.sent)

    def _respond(self, environ: dict[str, Any], link: Link) -> Response | None:
        self._cross_link()
        wait_until_thawed(self.state)
        name = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        route = _ROUTES.get(name)
        if route is None:
            return bad_request_response(f'unknown call {name}')
        try:
            response = route(self, link, read_body(environ))
        except ValueError as error:
            return bad_request_response(str(error))
        self._cross_link()
        wait_until_thawed(self.state)
        return response

    def _cross_link(self) -> None:
        if self.state.settings.link_ms > 0:
            sleep(self.state.settings.link_ms / _MS_PER_SECOND)


def _send_nothing() -> Iterable[bytes]:
    """Tell the WSGI server to write nothing and close the connection."""
    wsgi.WSGI_LOCAL.already_handled = True
    return []


def _search(app: BackendApp, link: Link, body: bytes) -> Response | None:
    request = parse_message(body, SearchRequest)
    run = functools.partial(search, app.state, request)
    return _carry_out(app, link, search_subject(request), run)


def _multi_search(app: BackendApp, link: Link, body: bytes) -> Response:
    if not app.state.settings.multi_search:
        return bad_request_response('this server takes single searches')
    request = parse_message(body, MultiSearchRequest)
    return json_response(search_all(app.state, app.spoiler, request))


def _execute(app: BackendApp, link: Link, body: bytes) -> Response | None:
    request = parse_message(body, ExecuteRequest)
    run = functools.partial(execute, app.state, request)
    return _carry_out(app, link, execute_subject(request), run)


def _carry_out(
    app: BackendApp,
    link: Link,
    subject: Subject,
    run: Callable[[Iterable[FaultRule]], Result[Any, Failure]],
) -> Response | None:
    """Run a request under the faults that meet it, and deliver the reply."""
    app.state.log.add(EventKind.RECEIVED, subject)
    faults = app.state.faults.draw(subject.call)
    outcome = run(faults)
    if is_successful(outcome):
        return app.deliver(link, subject, outcome.unwrap(), faults)
    held = app.state.holdings.held
    return failure_response(subject, outcome.failure(), held)


def _cancel(app: BackendApp, link: Link, body: bytes) -> Response:
    return json_response(cancel(app.state, parse_message(body, CancelRequest)))


def _health(app: BackendApp, link: Link, body: bytes) -> Response:
    return json_response(app.views.health())


def _load(app: BackendApp, link: Link, body: bytes) -> Response:
    return json_response(app.views.load())


_ROUTES: Final[dict[str, _Route]] = {
    'POST /v1/search': _search,
    'POST /v1/multi-search': _multi_search,
    'POST /v1/execute': _execute,
    'POST /v1/cancel': _cancel,
    'GET /v1/health': _health,
    'GET /v1/load': _load,
}
