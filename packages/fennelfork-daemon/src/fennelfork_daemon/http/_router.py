"""Routes of an HTTP face: method and path to a function."""

import http
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import attrs

from fennelfork import Failure, FailureCode, not_run
from fennelfork_daemon.http._problem import problem_reply

_JSON: Final = 'application/json'


@attrs.frozen(kw_only=True)
class HttpRequest:
    """One request of an HTTP face.

    Attributes:
        environ: the WSGI environment, for reading the body.
        names: the parts of the path that the route names.
        options: the query string, the last value of each name.
    """

    environ: dict[str, Any]
    names: Mapping[str, str]
    options: Mapping[str, str]


@attrs.frozen(kw_only=True)
class HttpReply:
    """One answer of an HTTP face."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """Code and reason, as WSGI's `start_response` takes them."""
        try:
            return f'{self.status} {http.HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Other'


Handler = Callable[[HttpRequest], HttpReply]


@attrs.frozen(kw_only=True)
class Route:
    """A method and a path whose `{name}` segments match any segment."""

    method: str
    path: str
    handler: Handler


@attrs.frozen(kw_only=True)
class Router:
    """A WSGI application over routes."""

    _routes: tuple[Route, ...]

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        reply = self._answer(environ)
        length = ('Content-Length', str(len(reply.body)))
        start_response(reply.status_line, [*reply.headers, length])
        return [reply.body]

    def _answer(self, environ: dict[str, Any]) -> HttpReply:
        # As sent: a decoded slash would split a segment, and decoding
        # twice would change a name that has a percent sign.
        path = environ['RAW_PATH_INFO']
        methods: set[str] = set()
        for route in self._routes:
            names = _match(route.path, path)
            if names is None:
                continue
            if route.method == environ['REQUEST_METHOD']:
                return route.handler(_request(environ, names))
            methods.add(route.method)
        if methods:
            return _wrong_method(environ['REQUEST_METHOD'], methods)
        failure = not_run(FailureCode.BAD_REQUEST, f'there is no path {path}')
        return failure_reply(failure, status=http.HTTPStatus.NOT_FOUND)


def router(routes: Iterable[Route]) -> Router:
    """Build the application of a face."""
    return Router(routes=tuple(routes))


def json_reply(tree: Any, status: int = http.HTTPStatus.OK) -> HttpReply:
    """Answer with a JSON document."""
    return HttpReply(
        status=status,
        headers=(('Content-Type', _JSON),),
        body=json.dumps(tree).encode(),
    )


def failure_reply(
    failure: Failure,
    request_id: str | None = None,
    status: int | None = None,
) -> HttpReply:
    """Answer with the problem document of a failure."""
    problem = problem_reply(failure, request_id, status)
    return HttpReply(
        status=problem.status,
        headers=problem.headers,
        body=problem.body,
    )


def _wrong_method(method: str, methods: set[str]) -> HttpReply:
    allowed = ', '.join(sorted(methods))
    failure = not_run(
        FailureCode.BAD_REQUEST,
        f'{method} is not allowed here, only {allowed}',
    )
    reply = failure_reply(failure, status=http.HTTPStatus.METHOD_NOT_ALLOWED)
    return attrs.evolve(reply, headers=(*reply.headers, ('Allow', allowed)))


def _match(pattern: str, path: str) -> dict[str, str] | None:
    wanted = pattern.split('/')
    found = path.split('/')
    if len(wanted) != len(found):
        return None
    names: dict[str, str] = {}
    for segment, text in zip(wanted, found, strict=True):
        if segment.startswith('{'):
            names[segment[1:-1]] = unquote(text)
        elif segment != text:
            return None
    return names


def _request(environ: dict[str, Any], names: dict[str, str]) -> HttpRequest:
    options = parse_qs(environ.get('QUERY_STRING', ''))
    return HttpRequest(
        environ=environ,
        names=names,
        options={name: given[-1] for name, given in options.items()},
    )
