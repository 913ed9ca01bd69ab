"""HTTP connections that accept only complete responses."""

import contextlib
import socket
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from fennelfork.responses import MalformedMessage, StrictResponse
from fennelfork_daemon._message_reader import MessageReader

_MS_PER_SECOND: Final = 1000
# The timeout of the socket bounds one read, and a response takes several.
_READ_TIMEOUTS_PER_RESPONSE: Final = 2


class CompleteResponse(StrictResponse):
    """Strict response that raises an error if it is incomplete or endless."""

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
