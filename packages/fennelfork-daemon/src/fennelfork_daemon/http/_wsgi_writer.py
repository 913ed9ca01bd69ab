"""Writing of answers with a timeout."""

import contextlib
import struct
from collections.abc import Iterable
from io import BufferedIOBase
from typing import Final

import attrs
from eventlet import Timeout
from eventlet.green import socket

_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


@attrs.define(kw_only=True)
class BoundedWriter:
    """Buffered writer that resets the connection of a stalled client.

    The timeout applies to each whole write, so that a client that reads
    slowly does not hold resources.
    """

    _target: BufferedIOBase
    _connection: socket.socket
    _timeout_s: float

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return self._target.closed

    def write(self, chunk: bytes) -> None:
        """Write bytes, like `write` of a file.

        Raises:
            TimeoutError: if the client does not read in time.
        """
        self.writelines((chunk,))

    def writelines(self, chunks: Iterable[bytes]) -> None:
        """Write several chunks.

        Raises:
            TimeoutError: if the client does not read in time.
        """
        with Timeout(self._timeout_s, exception=False):
            self._target.writelines(chunks)
            return
        self._abort()

    def flush(self) -> None:
        """Send the buffered bytes.

        Raises:
            TimeoutError: if the client does not read in time.
        """
        with Timeout(self._timeout_s, exception=False):
            self._target.flush()
            return
        self._abort()

    def close(self) -> None:
        """Close the file."""
        self._target.close()

    def _abort(self) -> None:
        # A reset on close discards the send buffer of the socket; the
        # shutdown makes later writes, such as the flush on close, fail.
        self._connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        raise TimeoutError('the client did not read the answer in time')
