"""Time between a caller and this daemon, as the kernel measures it."""

import struct
from typing import Any, Final

from eventlet.green import socket

from fennelfork.routes import RequestTimes
from fennelfork_daemon.http._wsgi_protocol import (
    CONNECTION_KEY,
    FIRST_REQUEST_KEY,
)
from fennelfork_daemon.routes._authorization import AuthorizedRequest

_US_PER_MS: Final = 1000
# Positions in `struct tcp_info` of the time since the last data was received, in
# milliseconds, and of the smoothed round-trip time, in microseconds.
_LAST_DATA_OFFSET: Final = 52
_ROUND_TRIP_OFFSET: Final = 68
_FIELD: Final = struct.Struct('I')


def caller_way_ms(connection: Any, *, is_new: bool) -> float:
    """Return the network time that a request costs its caller.

    The kernel measures the round trip. A new connection takes one more round
    trip before its first request.

    Args:
        connection: socket of the caller.
        is_new: whether the request is the first one on the connection.

    Returns:
        Time in milliseconds, zero if the kernel does not tell the round trip.
    """
    round_trip_us = _read_field(connection, _ROUND_TRIP_OFFSET)
    return (1 + is_new) * round_trip_us / _US_PER_MS


def unread_ms(connection: Any) -> float:
    """Return for how long the last bytes of a caller have been there.

    A late event loop reads a request some time after its arrival.

    Args:
        connection: socket of the caller, from which a request was just read.

    Returns:
        Time in milliseconds, zero if the kernel does not tell.
    """
    return _read_field(connection, _LAST_DATA_OFFSET)


def request_times(
    environ: dict[str, Any],
    request: AuthorizedRequest,
    received_ms: float,
) -> RequestTimes:
    """Return the times of a request that has arrived.

    Args:
        environ: WSGI environment of the request.
        request: the request.
        received_ms: time at which the request was received.
    """
    return RequestTimes(
        received_ms=received_ms,
        timeout_ms=request.left_ms,
        caller_way_ms=caller_way_ms(
            environ[CONNECTION_KEY],
            is_new=environ.get(FIRST_REQUEST_KEY, False),
        ),
    )


def _read_field(connection: Any, offset: int) -> float:
    """Return a field of `struct tcp_info`, zero if there is none."""
    end = offset + _FIELD.size
    try:
        fields = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    except OSError:
        return 0
    if len(fields) < end:
        return 0
    return float(_FIELD.unpack_from(fields, offset)[0])
