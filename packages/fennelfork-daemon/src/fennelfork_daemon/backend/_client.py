"""Calls to one backend server over HTTP."""

from typing import Any

import attrs
from returns.result import Result

from fennelfork import Failure
from fennelfork.gather import ExpectedReply, Reply
from fennelfork.home import ServerReport
from fennelfork_daemon.backend._call import BackendCall
from fennelfork_daemon.backend._pool import BackendPool, Trace
from fennelfork_daemon.backend._reply import (
    read_health,
    read_search,
    read_tree,
)


@attrs.frozen(kw_only=True)
class Sending:
    """How a call is sent.

    Attributes:
        left_ms: what remains of the deadline.
        timeout_ms: how long to wait for the reply.
        fresh: on a new connection.
        trace: where the connection is noted.
    """

    left_ms: float
    timeout_ms: float
    fresh: bool
    trace: Trace


@attrs.frozen(kw_only=True)
class BackendClient:
    """Speaks to one backend server."""

    pool: BackendPool

    def search(
        self,
        expected: ExpectedReply,
        query: Any,
        sending: Sending,
    ) -> Result[Reply, Failure]:
        """Run one sub-query; its reply is checked."""
        body = {
            'request_id': expected.request_id,
            'sub_query': expected.sub_query,
            'snapshot': expected.snapshot,
            'lo': expected.span.lo,
            'hi': expected.span.hi,
            'query': query,
            'deadline_ms': int(sending.left_ms),
        }
        return self._call('/v1/search', body, sending).bind(
            lambda tree: read_search(tree, expected),
        )

    def cancel(
        self,
        request_id: str,
        sub_query: str,
        sending: Sending,
    ) -> Result[bool, Failure]:
        """Tell the server that a copy is of no use any more."""
        body = {'request_id': request_id, 'sub_query': sub_query}
        return self._call('/v1/cancel', body, sending).map(_was_cancelled)

    def health(self, timeout_ms: float) -> Result[ServerReport, Failure]:
        """Ask what the server says of itself."""
        sending = Sending(
            left_ms=timeout_ms,
            timeout_ms=timeout_ms,
            fresh=False,
            trace=Trace(),
        )
        return self._call('/v1/health', None, sending).bind(read_health)

    def _call(
        self,
        path: str,
        body: dict[str, Any] | None,
        sending: Sending,
    ) -> Result[Any, Failure]:
        call = BackendCall(
            path=path,
            body=body,
            timeout_ms=sending.timeout_ms,
            fresh=sending.fresh,
        )
        return self.pool.carry(call, sending.trace).bind(read_tree)


def _was_cancelled(tree: Any) -> bool:
    return bool(tree.get('cancelled'))
