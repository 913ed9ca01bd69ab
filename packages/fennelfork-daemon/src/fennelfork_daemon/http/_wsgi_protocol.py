"""HTTP connections with limits on size and time."""

import contextlib
import functools
import http
from collections.abc import Callable
from typing import Any, BinaryIO, Final, cast

import attrs
from eventlet import Timeout, wsgi
from eventlet.green import socket

from fennelfork import Failure, FailureCode, not_run
from fennelfork_daemon._message_reader import (
    ENDLESS_ERRORS,
    IncompleteMessage,
    MessageReader,
    has_malformed_line,
)
from fennelfork_daemon.http._next_request import (
    begins_within,
    reads_answers_within,
)
from fennelfork_daemon.http._problem import ProblemReply, problem_reply
from fennelfork_daemon.http._wsgi_request import read_body_within
from fennelfork_daemon.http._wsgi_writer import BoundedWriter

CLOSE_KEY: Final = 'fennelfork.close_connection'
CONNECTION_KEY: Final = 'fennelfork.connection'
FIRST_REQUEST_KEY: Final = 'fennelfork.first_request'
TARGET_KEY: Final = 'fennelfork.target'
_MS_PER_SECOND: Final = 1000
_LINGER_MS: Final = 500
_LINGER_BYTES: Final = 1_048_576
_CHUNK_BYTES: Final = 65_536
# Errors of a message that ends early or does not end.
_UNREADABLE: Final = (IncompleteMessage, *ENDLESS_ERRORS)

# Called with the reason of each request that is refused before it is complete.
OnRefusal = Callable[[Failure], None]


@attrs.define(kw_only=True)
class ConnectionLimits:
    """Limits of one connection; changes also apply to open connections.

    Attributes:
        header_bytes: maximum size of all headers of a request, and of its
            request line.
        request_read_ms: timeout for reading all headers of a request, and
            for writing the answer.
        idle_ms: timeout for the start of the next request.
    """

    header_bytes: int
    request_read_ms: int
    idle_ms: int


class BoundedProtocol(wsgi.HttpProtocol):
    """HTTP protocol that closes connections of stalled clients.

    The WSGI environment contains under `CLOSE_KEY` a function that closes the
    connection after the answer, under `CONNECTION_KEY` the socket, by which an
    application detects that the client disconnects, under `FIRST_REQUEST_KEY`
    whether the request is the first one of its connection, and under
    `TARGET_KEY` the undecoded path and query.
    """

    limits: ConnectionLimits
    on_refusal: OnRefusal
    _has_served: bool = False

    def setup(self) -> None:
        """Prepare the connection, with a timeout for writing answers."""
        super().setup()
        self.rfile = MessageReader(self.rfile.detach())
        self.wfile = BoundedWriter(
            target=self.wfile,
            connection=self.connection,
            timeout_s=self.limits.request_read_ms / _MS_PER_SECOND,
        )

    def parse_request(self) -> bool:
        """Read the request headers, or answer with an error."""
        self.rfile = _HeaderReader(
            source=self.rfile.fp,
            remaining_bytes=self.limits.header_bytes,
        )
        timeout_s = self.limits.request_read_ms / _MS_PER_SECOND
        parsed = False
        with Timeout(timeout_s, exception=False):
            try:
                return super().parse_request() and self._has_clear_headers()
            except wsgi.HeadersTooLarge:
                self.send_error(
                    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    f'the headers exceed {self.limits.header_bytes} bytes',
                )
                return False
            except _UNREADABLE as error:
                self.send_error(http.HTTPStatus.BAD_REQUEST, str(error))
                return False
        self.send_error(
            http.HTTPStatus.REQUEST_TIMEOUT,
            'the headers did not arrive within '
            f'{self.limits.request_read_ms} ms',
        )
        return parsed

    def send_error(
        self,
        code: int,
        message: str | None = None,
        explain: str | None = None,
    ) -> None:
        """Answer with a problem document and close the connection."""
        detail = message or http.HTTPStatus(code).phrase
        failure = not_run(FailureCode.BAD_REQUEST, detail)
        self.on_refusal(failure)
        reply = problem_reply(failure, None, status=int(code))
        # The client may have left, which changes nothing about the refusal.
        with contextlib.suppress(OSError):
            self.wfile.write(_raw_response(reply))
            self.wfile.flush()
        self._close_after_reply()

    def get_environ(self) -> dict[str, Any]:
        """Build the WSGI environment with the keys of this module."""
        is_first = not self._has_served
        self._has_served = True
        # The standard library joins slashes at the start of the path.
        self.path = self.requestline.split()[1]
        environ = super().get_environ()
        environ['wsgi.input'].discard = functools.partial(
            self._discard_body, environ
        )
        return environ | {
            CLOSE_KEY: self._close_after_reply,
            CONNECTION_KEY: self.connection,
            FIRST_REQUEST_KEY: is_first,
            TARGET_KEY: self.path,
        }

    def finish(self) -> None:
        """Close the connection; read remaining input of a refused request.

        Closing a connection with unread input resets the connection, and the
        client may not receive the error answer.
        """
        if getattr(self, '_linger', False):
            with Timeout(_LINGER_MS / _MS_PER_SECOND, False):
                _shut_down_and_drain(self.connection)
        super().finish()

    def _discard_body(self, environ: dict[str, Any], *_sizes: int) -> None:
        """Read the part of a body that the application has not read.

        If the part is too long or late, the connection is closed.
        """
        rest = read_body_within(environ, _LINGER_BYTES, _LINGER_MS)
        if rest is None or len(rest) == _LINGER_BYTES:
            detail = (
                f'the unread part of the body exceeds {_LINGER_BYTES} bytes or '
                f'did not end within {_LINGER_MS} ms'
            )
            self.on_refusal(not_run(FailureCode.BAD_REQUEST, detail))
            self._close_after_reply()

    def _has_clear_headers(self) -> bool:
        """Refuse a request with a malformed header line or unclear length."""
        if has_malformed_line(self.headers):
            self.send_error(
                http.HTTPStatus.BAD_REQUEST, 'a header line is malformed'
            )
            return False
        return self._has_clear_length()

    def _has_clear_length(self) -> bool:
        """Refuse a request with an ambiguous body length."""
        lengths = self.headers.get_all('Content-Length', ())
        codings = self.headers.get_all('Transfer-Encoding', ())
        has_numeric_lengths = all(
            text.isascii() and text.isdigit() for text in lengths
        )
        coding_names = [text.strip().lower() for text in codings]
        if has_numeric_lengths and len(lengths) + len(codings) <= 1:
            if coding_names in ([], ['chunked']):
                return True
        self.send_error(
            http.HTTPStatus.BAD_REQUEST,
            'the length of the body is ambiguous',
        )
        return False

    def _read_request_line(self) -> bytes:
        self._apply_limits()
        self.rfile.start_message()
        if not self._await_request():
            return b''
        timeout_s = self.limits.request_read_ms / _MS_PER_SECOND
        with Timeout(timeout_s, exception=False):
            try:
                return super()._read_request_line() or b''
            except _UNREADABLE as error:
                self.send_error(http.HTTPStatus.BAD_REQUEST, str(error))
        return b''

    def _await_request(self) -> bool:
        """Wait until the client begins a request and has read the answers.

        A client that reads each answer before its next request is not delayed.
        """
        idle_s = self.limits.idle_ms / _MS_PER_SECOND
        if not begins_within(self.connection, self.rfile, idle_s):
            return False
        read_s = self.limits.request_read_ms / _MS_PER_SECOND
        if reads_answers_within(self.connection, read_s):
            return True
        detail = (
            'the client has not read the answers to earlier requests within '
            f'{self.limits.request_read_ms} ms'
        )
        self.on_refusal(not_run(FailureCode.BAD_REQUEST, detail))
        return False

    def _apply_limits(self) -> None:
        """Apply limits that may have changed since the server started."""
        limits = self.limits
        self.server.keepalive = limits.idle_ms / _MS_PER_SECOND
        self.server.socket_timeout = limits.request_read_ms / _MS_PER_SECOND
        self.server.url_length_limit = limits.header_bytes

    def _close_after_reply(self) -> None:
        self.close_connection = 1
        self._linger = True


@attrs.define(kw_only=True)
class _HeaderReader:
    """Reader of header lines with a limit on the total size."""

    _source: BinaryIO
    _remaining_bytes: int

    def readline(self, size: int = -1) -> bytes:
        """Read one line, like `readline` of a file."""
        line = self._source.readline(self._remaining_bytes + 1)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise wsgi.HeadersTooLarge
        return line


def bounded_protocol(
    limits: ConnectionLimits, on_refusal: OnRefusal
) -> type[BoundedProtocol]:
    """Build the protocol class of an HTTP API with these limits."""
    # A plain function would become a method of the class.
    members = {'limits': limits, 'on_refusal': functools.partial(on_refusal)}
    return cast(
        'type[BoundedProtocol]',
        type('_LimitedProtocol', (BoundedProtocol,), members),
    )


def ignore_refusal(failure: Failure) -> None:
    """Leave the report of a refused request to its client."""


def _shut_down_and_drain(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_WR)
        _discard_input(connection)
    except OSError:
        return


def _discard_input(connection: socket.socket) -> None:
    remaining_bytes = _LINGER_BYTES
    while remaining_bytes > 0:
        chunk = connection.recv(_CHUNK_BYTES)
        if not chunk:
            return
        remaining_bytes -= len(chunk)


def _raw_response(reply: ProblemReply) -> bytes:
    lines = [f'HTTP/1.1 {reply.status_line}']
    lines.extend(f'{name}: {text}' for name, text in reply.headers)
    lines.append(f'Content-Length: {len(reply.body)}')
    lines.append('Connection: close')
    head = '\r\n'.join(lines).encode()
    return b'\r\n\r\n'.join((head, reply.body))
