"""Routing of HTTP requests to handlers by method and path."""

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
    """Request to an HTTP API.

    Attributes:
        environ: WSGI environment, from which the body is read.
        names: path parameters by name.
        options: query parameters by name; of repeated parameters the last
            value.
    """

    environ: dict[str, Any]
    names: Mapping[str, str]
    options: Mapping[str, str]


@attrs.frozen(kw_only=True)
class HttpReply:
    """Answer of an HTTP API."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """Status code and reason phrase for `start_response` of WSGI."""
        try:
            return f'{self.status} {http.HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Other'


Handler = Callable[[HttpRequest], HttpReply]


@attrs.frozen(kw_only=True)
class Route:
    """Handler of a method and a path; `{name}` matches any path segment."""

    method: str
    path: str
    handler: Handler


@attrs.frozen(kw_only=True)
class Router:
    """WSGI application that dispatches requests to routes."""

    _routes: tuple[Route, ...]

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer a WSGI request."""
        reply = self._dispatch(environ)
        length = ('Content-Length', str(len(reply.body)))
        start_response(reply.status_line, [*reply.headers, length])
        return [reply.body]

    def _dispatch(self, environ: dict[str, Any]) -> HttpReply:
        # The raw path: a decoded slash would split a segment, and decoding
        # twice would change a name that contains a percent sign.
        path = environ['RAW_PATH_INFO']
        methods: set[str] = set()
        for route in self._routes:
            names = _match_path(route.path, path)
            if names is None:
                continue
            if route.method == environ['REQUEST_METHOD']:
                return route.handler(_build_request(environ, names))
            methods.add(route.method)
        if methods:
            return _method_not_allowed(environ['REQUEST_METHOD'], methods)
        failure = not_run(FailureCode.BAD_REQUEST, f'there is no path {path}')
        return failure_reply(failure, status=http.HTTPStatus.NOT_FOUND)


def router(routes: Iterable[Route]) -> Router:
    """Build the WSGI application of an HTTP API."""
    return Router(routes=tuple(routes))


def json_reply(document: Any, status: int = http.HTTPStatus.OK) -> HttpReply:
    """Build an answer with a JSON document."""
    return HttpReply(
        status=status,
        headers=(('Content-Type', _JSON),),
        body=json.dumps(document).encode(),
    )


def failure_reply(
    failure: Failure,
    request_id: str | None = None,
    status: int | None = None,
) -> HttpReply:
    """Build an answer with the problem document of a failure."""
    problem = problem_reply(failure, request_id, status)
    return HttpReply(
        status=problem.status,
        headers=problem.headers,
        body=problem.body,
    )


def _method_not_allowed(method: str, methods: set[str]) -> HttpReply:
    allowed = ', '.join(sorted(methods))
    failure = not_run(
        FailureCode.BAD_REQUEST,
        f'the method {method} is not allowed, expected {allowed}',
    )
    reply = failure_reply(failure, status=http.HTTPStatus.METHOD_NOT_ALLOWED)
    return attrs.evolve(reply, headers=(*reply.headers, ('Allow', allowed)))


def _match_path(pattern: str, path: str) -> dict[str, str] | None:
    pattern_segments = pattern.split('/')
    path_segments = path.split('/')
    if len(pattern_segments) != len(path_segments):
        return None
    names: dict[str, str] = {}
    for segment, text in zip(pattern_segments, path_segments, strict=True):
        if segment.startswith('{'):
            names[segment[1:-1]] = unquote(text)
        elif segment != text:
            return None
    return names


def _build_request(
    environ: dict[str, Any], names: dict[str, str]
) -> HttpRequest:
    options = parse_qs(environ.get('QUERY_STRING', ''))
    return HttpRequest(
        environ=environ,
        names=names,
        options={name: given[-1] for name, given in options.items()},
    )
