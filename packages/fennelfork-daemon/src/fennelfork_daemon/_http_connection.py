"""HTTP connections that accept only complete responses."""

from http.client import HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from fennelfork_daemon._message_reader import MessageReader


class CompleteResponse(HTTPResponse):
    """Response that raises `IncompleteMessage` if it ends early.

    A body without a length ends with the connection.
    """

    def __init__(self, sock: Any, **options: Any) -> None:
        """Read the response from a connected socket."""
        super().__init__(sock, **options)
        self.fp = MessageReader(self.fp.detach())


class CompleteHTTPConnection(HTTPConnection):
    """Connection of urllib3 whose responses are complete."""

    response_class = CompleteResponse


class _CompletePool(HTTPConnectionPool):
    """Connection pool of urllib3 whose responses are complete."""

    ConnectionCls = CompleteHTTPConnection


def complete_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Build a pool manager whose responses are complete.

    Args:
        options: arguments of `urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {'http': _CompletePool}
    return manager
