"""Writing of answers, bounded in time."""

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
    """The buffered file of a connection, given up on if its reader stalls.

    The time is for each whole answer, so that a client that takes a byte now
    and then holds nothing for longer.
    """

    _target: BufferedIOBase
    _connection: socket.socket
    _seconds: float

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return self._target.closed

    def write(self, chunk: bytes) -> None:
        """Write bytes, as a file would.

        Raises:
            TimeoutError: if they are not taken in time.
        """
        self.writelines((chunk,))

    def writelines(self, chunks: Iterable[bytes]) -> None:
        """Write several pieces.

        Raises:
            TimeoutError: if they are not taken in time.
        """
        with Timeout(self._seconds, exception=False):
            self._target.writelines(chunks)
            return
        self._give_up()

    def flush(self) -> None:
        """Send what is buffered.

        Raises:
            TimeoutError: if it is not taken in time.
        """
        with Timeout(self._seconds, exception=False):
            self._target.flush()
            return
        self._give_up()

    def close(self) -> None:
        """Close the file."""
        self._target.close()

    def _give_up(self) -> None:
        # A reset on closing frees what the system still buffers, and later
        # writes, such as the flush on closing, fail at once.
        self._connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        raise TimeoutError('the client did not take its answer in time')
