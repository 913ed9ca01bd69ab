"""What every stand-in process shares: listening, the ready line, requests."""

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
_IDLE_S: Final = 600

Json = dict[str, Any]
Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], object]
Application = Callable[[Json, StartResponse], Iterable[bytes]]


class CutError(Exception):
    """The connection is to be closed before an answer."""


class TooLargeError(Exception):
    """The body of a request is above the limit."""


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer of a stand-in."""

    status: str
    body: Json


def serve(listen: str, application: Application) -> None:
    """Listen, print the ready line, and serve until a SIGTERM.

    Args:
        listen: `ip:port`; port 0 lets the system choose.
        application: the WSGI application.
    """
    host, _, port = listen.rpartition(':')
    listener = open_listener((host, int(port)), backlog=_BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    signal.signal(signal.SIGTERM, _leave)
    bound = listener.getsockname()
    ready = {'ready': {'address': f'{bound[0]}:{bound[1]}'}}
    sys.stdout.write(f'{json.dumps(ready)}\n')
    sys.stdout.flush()
    wsgi.server(
        listener,
        application,
        max_size=_MAX_CONNECTIONS,
        log_output=False,
        socket_timeout=_IDLE_S,
        debug=False,
    )


def read_json(environ: Json, limit: int) -> Json:
    """Read the body of a request; an empty body is an empty object.

    Args:
        environ: the WSGI environment.
        limit: most bytes taken.

    Raises:
        TooLargeError: if the body is above the limit.
        ValueError: if it is not a JSON object.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > limit:
        raise TooLargeError(f'{length} bytes, at most {limit}')
    body = json.loads(environ['wsgi.input'].read(length) or b'{}')
    if not isinstance(body, dict):
        raise ValueError('not an object')
    return body


def send(answer: Answer, start_response: StartResponse) -> list[bytes]:
    """Send a whole JSON answer."""
    payload = json.dumps(answer.body, separators=(',', ':')).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
    ]
    start_response(answer.status, headers)
    return [payload]


def cut(environ: Json) -> None:
    """Close the connection of a request without an answer.

    Raises:
        CutError: always, so that the server writes nothing.
    """
    environ['wsgi.input'].get_socket().shutdown(socket.SHUT_RDWR)
    raise CutError


def is_peer_closed(environ: Json) -> bool:
    """Tell whether the other end has closed the connection of a request."""
    raw = environ['wsgi.input'].get_socket().fd
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return not raw.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _leave(*_: object) -> None:
    sys.exit(0)
