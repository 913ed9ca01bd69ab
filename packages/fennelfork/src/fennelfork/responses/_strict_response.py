"""HTTP response of the standard library that is read strictly."""

from collections.abc import Callable
from http import HTTPStatus
from http.client import HTTPMessage, HTTPResponse, RemoteDisconnected
from typing import Final

from fennelfork.responses._body_length import ResponseHead, find_body_length
from fennelfork.responses._grammar import (
    MalformedMessage,
    StatusLine,
    parse_chunk_line,
    parse_field_line,
    parse_status_line,
)

# Values of `HTTPResponse.version`: HTTP/1.0, and HTTP/1.1 or later.
_OLD_VERSION: Final = 10
_CURRENT_VERSION: Final = 11
_MAX_LINE_BYTES: Final = 65_536
_MAX_FIELDS: Final = 100
_CHUNK_END: Final = b'\r\n'


class StrictResponse(HTTPResponse):  # noqa: WPS230  # names of the library
    """Response whose head, chunks and trailers follow RFC 9112.

    The lenient parsers of the standard library are not used. A body without a
    length ends with the connection. All bytes are read from the file `fp`, which
    subclasses may replace.
    """

    # Members of the standard library that its stubs do not declare.
    code: int
    _method: str | None
    _check_close: Callable[[], bool]
    _close_conn: Callable[[], None]
    _safe_read: Callable[[int], bytes]

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
        """Read the status line of an interim or final response.

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
        """Read header or trailer fields and the empty line after the fields."""
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
        # `chunk_left` is zero after a chunk and none before the first one.
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

    def _read_line(self) -> bytes:
        line: bytes = self.fp.readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise MalformedMessage(f'a line exceeds {_MAX_LINE_BYTES} bytes')
        return line
