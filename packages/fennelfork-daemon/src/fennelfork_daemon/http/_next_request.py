"""Waiting for the next request of a client."""

import contextlib
import fcntl
import io
import struct
import termios
from http.client import HTTPException
from typing import Any, Final

import eventlet

_QUEUE_LENGTH: Final = struct.Struct('i')
_MAX_UNREAD_BYTES: Final = 65_536
_POLL_INTERVAL_S: Final = 0.05


def begins_within(
    connection: Any, reader: io.BufferedReader, timeout_s: float
) -> bool:
    """Wait for the first byte of a request.

    Args:
        connection: socket of the client.
        reader: buffered reader of the connection.
        timeout_s: maximum wait in seconds.

    Returns:
        Whether a byte arrived; false if the client closes or resets the
        connection, as clients may do between requests.
    """
    connection.settimeout(timeout_s)
    with eventlet.Timeout(timeout_s, exception=False):
        with contextlib.suppress(OSError, HTTPException):
            return bool(reader.peek(1))
    return False


def reads_answers_within(connection: Any, timeout_s: float) -> bool:
    """Wait until at most 64 KiB of the earlier answers are unread.

    Otherwise the requests of a client that reads no answers would be served as
    long as the socket buffers have room for the answers.

    Args:
        connection: socket of the client.
        timeout_s: maximum wait in seconds.

    Returns:
        Whether the client has read that much in time.
    """
    left_s = timeout_s
    while _unread_bytes(connection) > _MAX_UNREAD_BYTES:
        if left_s <= 0:
            return False
        eventlet.sleep(_POLL_INTERVAL_S)
        left_s -= _POLL_INTERVAL_S
    return True


def _unread_bytes(connection: Any) -> int:
    """Return the bytes in the send queue of a socket, 0 if it is closed."""
    try:
        packed = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_LENGTH.size)
        )
    except OSError:
        return 0
    return int(_QUEUE_LENGTH.unpack(packed)[0])
