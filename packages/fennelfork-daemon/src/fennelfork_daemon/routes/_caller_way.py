"""Network time between a caller and this daemon."""

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
# Position and size of the smoothed round-trip time in `struct tcp_info`.
_ROUND_TRIP_OFFSET: Final = 68
_ROUND_TRIP: Final = struct.Struct('I')


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
    try:
        fields = connection.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            _ROUND_TRIP_OFFSET + _ROUND_TRIP.size,
        )
    except OSError:
        return 0
    if len(fields) < _ROUND_TRIP_OFFSET + _ROUND_TRIP.size:
        return 0
    round_trip_us = _ROUND_TRIP.unpack_from(fields, _ROUND_TRIP_OFFSET)[0]
    return (1 + is_new) * float(round_trip_us) / _US_PER_MS


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
