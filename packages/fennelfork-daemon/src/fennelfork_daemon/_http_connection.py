"""HTTP connections that accept only complete responses."""

import contextlib
import socket
from http import HTTPStatus
from http.client import HTTPMessage, HTTPResponse, RemoteDisconnected
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from fennelfork_daemon._body_length import ResponseHead, find_body_length
from fennelfork_daemon._message_grammar import (
    MalformedMessage,
    StatusLine,
    parse_chunk_line,
    parse_field_line,
    parse_status_line,
)
from fennelfork_daemon._message_reader import MessageReader

_MS_PER_SECOND: Final = 1000
# The timeout of the socket bounds one read, and a response takes several.
_READ_TIMEOUTS_PER_RESPONSE: Final = 2
# Values of `HTTPResponse.version`: HTTP/1.0, and HTTP/1.1 or later.
_OLD_VERSION: Final = 10
_CURRENT_VERSION: Final = 11
_MAX_LINE_BYTES: Final = 65_536
_MAX_FIELDS: Final = 100
_CHUNK_END: Final = b'\r\n'


class CompleteResponse(HTTPResponse):  # noqa: WPS230  # names of the library
    """Response that raises an error if it is incomplete or malformed.

    The head, the chunks and the trailers are read by the grammar of RFC 9112, in
    place of the lenient parsers of the standard library. A body without a length
    ends with the connection.
    """

    def __init__(self, sock: Any, **options: Any) -> None:
        """Read the response from a connected socket."""
        super().__init__(sock, **options)
        self._connection = sock
        self.fp = MessageReader(self.fp.detach())
        timeout_s = sock.gettimeout()
        if timeout_s is not None:
            self.fp.limit_time(
                timeout_s * _MS_PER_SECOND * _READ_TIMEOUTS_PER_RESPONSE
            )

    def begin(self) -> None:
        """Read the status line and the header fields of the final response.

        Raises:
            MalformedMessage: if the head breaks RFC 9112.
        """
        if self.headers is not None:
            return
        status_line = self._read_status_line()
        fields = self._read_fields()
        while status_line.status < HTTPStatus.OK:
            status_line = self._read_status_line()
            fields = self._read_fields()
        self.code = status_line.status
        self.status = status_line.status
        self.reason = status_line.reason
        is_old = status_line.minor_version == 0
        self.version = _OLD_VERSION if is_old else _CURRENT_VERSION
        self.headers = fields
        self.msg = fields
        self._apply_body_length()

    def _apply_body_length(self) -> None:
        body_length = find_body_length(
            ResponseHead(
                method=self._method,
                has_chunks=self.version > _OLD_VERSION,
                status=self.status,
                lengths=self.headers.get_all('Content-Length', ()),
                codings=self.headers.get_all('Transfer-Encoding', ()),
            ),
        )
        self.chunked = body_length.is_chunked
        self.chunk_left = None
        self.length = body_length.byte_count
        has_length = self.chunked or self.length is not None
        self.will_close = self._check_close() or not has_length

    def _read_status_line(self) -> StatusLine:
        """Read one status line.

        Raises:
            RemoteDisconnected: if the connection ended before the line.
        """
        line = self._read_line()
        if not line:
            raise RemoteDisconnected('the connection ended before a response')
        status_line = parse_status_line(line)
        if status_line.status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise MalformedMessage('the response 101 was not requested')
        return status_line

    def _read_fields(self) -> HTTPMessage:
        """Read the fields up to the empty line after them."""
        fields = HTTPMessage()
        while field := parse_field_line(self._read_line()):
            if len(fields) == _MAX_FIELDS:
                raise MalformedMessage(f'more than {_MAX_FIELDS} fields')
            name, text = field
            fields[name] = text
        return fields

    def _get_chunk_left(self) -> int | None:
        """Return the rest of the chunk in bytes, or read the next chunk line.

        Returns:
            The number of bytes; none after the last chunk and its trailers.
        """
        if self.chunk_left:
            return self.chunk_left
        # Zero after a chunk; none before the first one.
        if (
            self.chunk_left is not None
            and self._safe_read(len(_CHUNK_END)) != _CHUNK_END
        ):
            raise MalformedMessage('a chunk does not end with CRLF')
        self.chunk_left = parse_chunk_line(self._read_line()) or None
        if self.chunk_left is None:
            self._read_fields()
            self._close_conn()
        return self.chunk_left

    def _close_conn(self) -> None:
        """Close the reader, and the connection if it has more bytes.

        These bytes belong to no request, and the next response would begin
        within them.
        """
        has_surplus = self.fp.has_surplus()
        super()._close_conn()
        if has_surplus:
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)

    def _read_line(self) -> bytes:
        line: bytes = self.fp.readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise MalformedMessage(f'a line exceeds {_MAX_LINE_BYTES} bytes')
        return line


class CompleteHTTPConnection(HTTPConnection):
    """Connection of urllib3 whose responses are complete."""

    response_class = CompleteResponse


class _CompletePool(HTTPConnectionPool):
    """Connection pool of urllib3 whose responses are complete."""

    ConnectionCls = CompleteHTTPConnection


def cause_of(error: Exception) -> BaseException:
    """Return the error that urllib3 has wrapped, or the error itself."""
    return error.__cause__ or error.__context__ or error


def describe_error(error: Exception) -> str:
    """Return the type of an error, with the rule that a response breaks.

    Args:
        error: error of a response, which urllib3 may have wrapped.
    """
    cause = cause_of(error)
    if isinstance(cause, MalformedMessage):
        return f'{type(cause).__name__}: {cause}'
    return type(error).__name__


def complete_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Build a pool manager whose responses are complete.

    Args:
        options: arguments of `urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {'http': _CompletePool}
    return manager
