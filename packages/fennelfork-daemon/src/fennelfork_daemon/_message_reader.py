"""Reader of HTTP messages that end early, late or never."""

import io
from email.errors import MissingHeaderBodySeparatorDefect
from email.message import Message
from typing import Any, Final

from fennelfork import system_clock
from fennelfork_daemon._paced_reader import LateMessage, PacedReader
from fennelfork_daemon._sockets import ConnectionBroken

# Raised by cooperative and by blocking sockets.
_RESET_ERRORS: Final = (ConnectionBroken, ConnectionResetError)
# Limit on all lines of a message together: start line, interim responses,
# headers, chunk sizes and trailers.
_MAX_LINE_BYTES: Final = 262_144
# Added to the length of each line, so that the number of lines is limited too.
_OVERHEAD_PER_LINE: Final = 32
# Added to the limit for each byte of the body, since chunks have lines.
_LINE_BYTES_PER_BODY_BYTE: Final = 4
# Values of `size` for a line of any length.
_ANY_SIZE: Final = (None, -1)


class IncompleteMessage(ConnectionError):
    """Connection that ended within a message."""


class EndlessLines(ConnectionError):
    """Message whose lines exceed their limit."""


# Errors of a message that does not end.
ENDLESS_ERRORS: Final = (EndlessLines, LateMessage)


class MessageReader(io.BufferedReader):
    """Buffered reader of the lines and the bodies of HTTP messages.

    The lines of a message have a limit on their bytes, and the whole message may
    have a time limit. Other green threads run while bytes arrive.

    The parsers of the standard library, of urllib3 and of eventlet take the end
    of the connection for the empty line after headers or trailers, and a part of
    a line for the whole line. All of them read lines with `readline`.
    """

    _is_within_message: bool = False
    _left_bytes: int = _MAX_LINE_BYTES

    def __init__(self, raw: Any) -> None:
        """Read from a raw reader, which the caller must not use afterwards."""
        self._paced = PacedReader(raw, system_clock())
        super().__init__(self._paced)

    def start_message(self) -> None:
        """Accept the end of the connection in place of the next line.

        The limit on lines starts anew. Other green threads run between messages
        that have arrived together.
        """
        self._is_within_message = False
        self._left_bytes = _MAX_LINE_BYTES
        self._paced.yield_regularly()

    def limit_time(self, timeout_ms: float) -> None:
        """Limit the time in which bytes are read, from now on."""
        self._paced.limit_time(timeout_ms)

    def has_surplus(self) -> bool:
        """Whether bytes beyond the message have been read.

        No further bytes are read from the connection from now on.
        """
        self._paced.stop()
        return bool(self.peek(1))

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line, like `readline` of a file.

        Args:
            size: maximum number of bytes to read; unlimited if negative.

        Returns:
            The line, or as many of its bytes as `size` permits; empty if the
            connection ended before the first line of the message.

        Raises:
            IncompleteMessage: if the connection ended within the message.
            EndlessLines: if the lines of the message exceed their limit.
        """
        allowed = self._left_bytes if size in _ANY_SIZE else size
        limit = min(allowed or 0, self._left_bytes)
        try:
            line = super().readline(limit)
        except _RESET_ERRORS as error:
            if not self._is_within_message:
                raise
            raise _incomplete_message() from error
        self._check_end(line, limit)
        self._left_bytes -= len(line) + _OVERHEAD_PER_LINE
        if self._left_bytes < 0:
            raise EndlessLines(
                f'the lines of the message exceed {_MAX_LINE_BYTES} bytes'
            )
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read bytes of the body, like `read` of a file."""
        chunk = super().read(size)
        self._left_bytes += len(chunk) * _LINE_BYTES_PER_BODY_BYTE
        return chunk

    def _check_end(self, line: bytes, size: int) -> None:
        """Raise an error if the connection ended before the end of a line."""
        is_shortened = size <= len(line)
        if line.endswith(b'\n') or is_shortened:
            self._is_within_message = True
        elif line or self._is_within_message:
            raise _incomplete_message()


def has_malformed_line(headers: Message) -> bool:
    """Whether a line without a header name ended the parsing of headers.

    The parser of the standard library skips the lines after such a line, which
    may contain the length of the body.
    """
    return any(
        isinstance(defect, MissingHeaderBodySeparatorDefect)
        for defect in headers.defects
    )


def _incomplete_message() -> IncompleteMessage:
    return IncompleteMessage('the connection ended within a message')
