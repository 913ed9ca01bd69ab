"""Reader of HTTP messages that detects messages which end early."""

import io
from email.errors import MissingHeaderBodySeparatorDefect
from email.message import Message
from typing import Final

from fennelfork_daemon._sockets import ConnectionBroken

# Raised by cooperative and by blocking sockets.
_RESET_ERRORS: Final = (ConnectionBroken, ConnectionResetError)


class IncompleteMessage(ConnectionError):
    """Connection that ended within a message."""


class MessageReader(io.BufferedReader):
    """Buffered reader of the lines and the bodies of HTTP messages.

    The parsers of the standard library, of urllib3 and of eventlet take the end
    of the connection for the empty line after headers or trailers, and a part of
    a line for the whole line. All of them read lines with `readline`.
    """

    _is_within_message: bool = False

    def start_message(self) -> None:
        """Accept the end of the connection in place of the next line."""
        self._is_within_message = False

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line, like `readline` of a file.

        Args:
            size: maximum number of bytes to read; unlimited if negative.

        Returns:
            The line, or as many of its bytes as `size` permits; empty if the
            connection ended before the first line of the message.

        Raises:
            IncompleteMessage: if the connection ended within the message.
        """
        try:
            line = super().readline(size)
        except _RESET_ERRORS as error:
            if not self._is_within_message:
                raise
            raise _incomplete_message() from error
        self._check_end(line, size)
        return line

    def _check_end(self, line: bytes, size: int | None) -> None:
        """Raise an error if the connection ended before the end of a line."""
        is_shortened = size is not None and 0 <= size <= len(line)
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
