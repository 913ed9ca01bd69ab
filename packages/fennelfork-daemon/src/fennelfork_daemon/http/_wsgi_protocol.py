"""HTTP connections of callers and operators, bounded in bytes and time."""

import http
from typing import Any, BinaryIO, Final, cast

import attrs
from eventlet import Timeout, wsgi
from eventlet.green import socket

from fennelfork import FailureCode, not_run
from fennelfork_daemon.http._problem import ProblemReply, problem_reply
from fennelfork_daemon.http._wsgi_writer import BoundedWriter

CLOSE_KEY: Final = 'fennelfork.close_connection'
CONNECTION_KEY: Final = 'fennelfork.connection'
TARGET_KEY: Final = 'fennelfork.target'
_MS_PER_SECOND: Final = 1000
_LINGER_MS: Final = 500
_LINGER_BYTES: Final = 1_048_576
_CHUNK_BYTES: Final = 65_536


@attrs.define(kw_only=True)
class ConnectionLimits:
    """What one connection may cost; a change holds for open ones as well.

    Attributes:
        header_bytes: request line aside, all headers of a request.
        request_read_ms: for all headers of one request, and for the client
            to take the answer.
        idle_ms: for the next request to begin.
    """

    header_bytes: int
    request_read_ms: int
    idle_ms: int


class BoundedProtocol(wsgi.HttpProtocol):
    """Serves one connection and gives up on clients that stall.

    An application ends the connection after its answer by calling what it
    finds under `CLOSE_KEY` in the WSGI environment. Under `CONNECTION_KEY` it
    finds the socket, to see the client leave, and under `TARGET_KEY` path and
    query as they were sent.
    """

    limits: ConnectionLimits

    def setup(self) -> None:
        """Prepare the connection; answers are written within a time."""
        super().setup()
        self.wfile = BoundedWriter(
            target=self.wfile,
            connection=self.connection,
            seconds=self.limits.request_read_ms / _MS_PER_SECOND,
        )

    def parse_request(self) -> bool:
        """Read the headers, or answer why they are refused."""
        self.rfile = _HeaderReader(
            source=self.rfile.fp,
            left=self.limits.header_bytes,
        )
        seconds = self.limits.request_read_ms / _MS_PER_SECOND
        parsed = False
        with Timeout(seconds, exception=False):
            try:
                return super().parse_request() and self._is_framed()
            except wsgi.HeadersTooLarge:
                self.send_error(
                    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    f'the headers exceed {self.limits.header_bytes} bytes',
                )
                return False
        self.send_error(
            http.HTTPStatus.REQUEST_TIMEOUT,
            f'no whole headers within {self.limits.request_read_ms} ms',
        )
        return parsed

    def send_error(
        self,
        code: int,
        message: str | None = None,
        explain: str | None = None,
    ) -> None:
        """Answer with a problem document and end the connection."""
        detail = message or http.HTTPStatus(code).phrase
        failure = not_run(FailureCode.BAD_REQUEST, detail)
        reply = problem_reply(failure, None, status=int(code))
        self.wfile.write(_raw(reply))
        self.wfile.flush()
        self._end()

    def get_environ(self) -> dict[str, Any]:
        """Build the WSGI environment with a way to end the connection."""
        return super().get_environ() | {
            CLOSE_KEY: self._end,
            CONNECTION_KEY: self.connection,
            TARGET_KEY: self.path,
        }

    def finish(self) -> None:
        """Close; what a refused client still sends is read for a moment.

        Closing with unread input resets the connection, and the client may
        then never see why it was refused.
        """
        if getattr(self, '_linger', False):
            with Timeout(_LINGER_MS / _MS_PER_SECOND, False):
                _drain_input(self.connection)
        super().finish()

    def _is_framed(self) -> bool:
        """Refuse a request whose end can be read in two ways."""
        lengths = self.headers.get_all('Content-Length', ())
        codings = self.headers.get_all('Transfer-Encoding', ())
        digits = all(text.isascii() and text.isdigit() for text in lengths)
        chunked = [text.strip().lower() for text in codings]
        if digits and len(lengths) + len(codings) <= 1:
            if chunked in ([], ['chunked']):
                return True
        self.send_error(
            http.HTTPStatus.BAD_REQUEST,
            'the length of the body is not clear',
        )
        return False

    def _read_request_line(self) -> bytes:
        seconds = self.limits.idle_ms / _MS_PER_SECOND
        with Timeout(seconds, exception=False):
            return super()._read_request_line() or b''
        return b''

    def _end(self) -> None:
        self.close_connection = 1
        self._linger = True


@attrs.define(kw_only=True)
class _HeaderReader:
    """Gives lines of headers until their bytes are used up."""

    _source: BinaryIO
    _left: int

    def readline(self, size: int = -1) -> bytes:
        """Read one line, as a file would."""
        line = self._source.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise wsgi.HeadersTooLarge
        return line


def bounded_protocol(limits: ConnectionLimits) -> type[BoundedProtocol]:
    """Build the protocol class for a face with these limits."""
    return cast(
        'type[BoundedProtocol]',
        type('_FaceProtocol', (BoundedProtocol,), {'limits': limits}),
    )


def _drain_input(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_WR)
        _read_away(connection)
    except OSError:
        return


def _read_away(connection: socket.socket) -> None:
    left = _LINGER_BYTES
    while left > 0:
        chunk = connection.recv(_CHUNK_BYTES)
        if not chunk:
            return
        left -= len(chunk)


def _raw(reply: ProblemReply) -> bytes:
    lines = [f'HTTP/1.1 {reply.status_line}']
    lines.extend(f'{name}: {text}' for name, text in reply.headers)
    lines.append(f'Content-Length: {len(reply.body)}')
    lines.append('Connection: close')
    head = '\r\n'.join(lines).encode()
    return b'\r\n\r\n'.join((head, reply.body))
