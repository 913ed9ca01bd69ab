"""Typed client for the HTTP API of one backend server."""

from typing import Any

import attrs
from returns.result import Result

from fennelfork import Failure
from fennelfork.gather import ExpectedReply, Reply
from fennelfork.home import ServerReport
from fennelfork_daemon.backend._pool import BackendPool, ConnectionTrace
from fennelfork_daemon.backend._request import JsonRequest
from fennelfork_daemon.backend._response import (
    read_health,
    read_json,
    read_search,
)


@attrs.frozen(kw_only=True)
class SendOptions:
    """Options for sending one request.

    Attributes:
        remaining_ms: time until the deadline, in milliseconds.
        timeout_ms: timeout for the response, in milliseconds.
        fresh: whether the request needs a new connection.
        trace: record of the connection that carries the request.
    """

    remaining_ms: float
    timeout_ms: float
    fresh: bool
    trace: ConnectionTrace


@attrs.frozen(kw_only=True)
class BackendClient:
    """Client for one backend server."""

    pool: BackendPool

    def search(
        self,
        expected: ExpectedReply,
        query: Any,
        options: SendOptions,
    ) -> Result[Reply, Failure]:
        """Run one sub-query and validate the response."""
        body = {
            'request_id': expected.request_id,
            'sub_query': expected.sub_query,
            'snapshot': expected.snapshot,
            'lo': expected.span.lo,
            'hi': expected.span.hi,
            'query': query,
            'deadline_ms': int(options.remaining_ms),
        }
        return self._send('/v1/search', body, options).bind(
            lambda tree: read_search(tree, expected),
        )

    def cancel(
        self,
        request_id: str,
        sub_query: str,
        options: SendOptions,
    ) -> Result[bool, Failure]:
        """Cancel an attempt on the server.

        Returns:
            Whether the server cancelled the attempt.
        """
        body = {'request_id': request_id, 'sub_query': sub_query}
        return self._send('/v1/cancel', body, options).map(_read_cancelled)

    def health(self, timeout_ms: float) -> Result[ServerReport, Failure]:
        """Request the health report of the server."""
        options = SendOptions(
            remaining_ms=timeout_ms,
            timeout_ms=timeout_ms,
            fresh=False,
            trace=ConnectionTrace(),
        )
        return self._send('/v1/health', None, options).bind(read_health)

    def _send(
        self,
        path: str,
        body: dict[str, Any] | None,
        options: SendOptions,
    ) -> Result[Any, Failure]:
        request = JsonRequest(
            path=path,
            body=body,
            timeout_ms=options.timeout_ms,
            fresh=options.fresh,
        )
        return self.pool.exchange(request, options.trace).bind(read_json)


def _read_cancelled(tree: Any) -> bool:
    return bool(tree.get('cancelled'))
