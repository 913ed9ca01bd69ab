"""HTTP server that the stand-in processes share."""

import json
import signal
import socket
import sys
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs
from eventlet import listen as open_listener
from eventlet import wsgi

_BACKLOG: Final = 512
_MAX_CONNECTIONS: Final = 2000
_IDLE_TIMEOUT_S: Final = 600

Json = dict[str, Any]
Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], object]
Application = Callable[[Json, StartResponse], Iterable[bytes]]


class ConnectionClosedError(Exception):
    """The connection was closed without a response."""


class TooLargeError(Exception):
    """The body of a request exceeds the size limit."""


@attrs.frozen(kw_only=True)
class Response:
    """Complete response of a stand-in."""

    status: str
    body: Json


def serve(listen: str, application: Application) -> None:
    """Listen, print the ready line and serve until SIGTERM.

    Args:
        listen: listen address as `ip:port`; port 0 selects a free port.
        application: WSGI application.
    """
    host, _, port = listen.rpartition(':')
    listener = open_listener((host, int(port)), backlog=_BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    signal.signal(signal.SIGTERM, _exit)
    listen_address = listener.getsockname()
    ready = {'ready': {'address': f'{listen_address[0]}:{listen_address[1]}'}}
    sys.stdout.write(f'{json.dumps(ready)}\n')
    sys.stdout.flush()
    wsgi.server(
        listener,
        application,
        max_size=_MAX_CONNECTIONS,
        log_output=False,
        socket_timeout=_IDLE_TIMEOUT_S,
        debug=False,
    )


def read_json(environ: Json, max_bytes: int) -> Json:
    """Return the JSON body of a request; an empty body is an empty object.

    Args:
        environ: WSGI environment of the request.
        max_bytes: maximum size of the body.

    Raises:
        TooLargeError: if the body exceeds the maximum size.
        ValueError: if the body is not a JSON object.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > max_bytes:
        raise TooLargeError(f'{length} bytes, at most {max_bytes}')
    body = json.loads(environ['wsgi.input'].read(length) or b'{}')
    if not isinstance(body, dict):
        raise ValueError('not an object')
    return body


def send_response(
    answer: Response, start_response: StartResponse
) -> list[bytes]:
    """Send a complete JSON response."""
    payload = json.dumps(answer.body, separators=(',', ':')).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
    ]
    start_response(answer.status, headers)
    return [payload]


def close_connection(environ: Json) -> None:
    """Close the connection of a request without a response.

    Raises:
        ConnectionClosedError: always, to keep the server from writing.
    """
    environ['wsgi.input'].get_socket().shutdown(socket.SHUT_RDWR)
    raise ConnectionClosedError


def is_peer_closed(environ: Json) -> bool:
    """Return whether the client has closed the connection of a request."""
    client_socket = environ['wsgi.input'].get_socket().fd
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return not client_socket.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _exit(*_: object) -> None:
    sys.exit(0)
