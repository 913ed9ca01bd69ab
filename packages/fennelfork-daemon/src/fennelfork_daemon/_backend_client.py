"""Calls to one backend server over HTTP."""

import json
from typing import Any, Final

import attrs
import urllib3
from returns.result import Failure as Bad
from returns.result import Result, Success
from urllib3 import exceptions as http_errors

from fennelfork import (
    Expected,
    Failure,
    FailureCode,
    KeyRange,
    Record,
    Reply,
    Server,
    Verdict,
    check_reply,
    may_have_run,
    not_run,
)

_MS: Final = 1000
_OK: Final = 200
_NEVER_SENT: Final = (
    http_errors.NewConnectionError,
    http_errors.ConnectTimeoutError,
)


@attrs.define(kw_only=True)
class BackendClient:
    """Speaks to one backend server; a failed connection is not used again."""

    _name: str
    _pool: urllib3.HTTPConnectionPool

    def search(
        self,
        expected: Expected,
        query: str,
        timeout_ms: float,
    ) -> Result[Reply, Failure]:
        """Run one sub-query.

        Args:
            expected: what the reply must echo.
            query: the caller's query as JSON text.
            timeout_ms: what remains of the deadline.

        Returns:
            A reply that was checked, or why there is none.
        """
        body = {
            'request_id': expected.request_id,
            'sub_query': expected.sub_query,
            'snapshot': expected.snapshot,
            'lo': expected.span.lo,
            'hi': expected.span.hi,
            'query': json.loads(query),
            'deadline_ms': int(timeout_ms),
        }
        answer = self._call('POST', '/v1/search', body, timeout_ms)
        return answer.bind(_read_reply).bind(
            lambda reply: check_reply(expected, reply),
        )

    def health(self, timeout_ms: float) -> Result[Any, Failure]:
        """Ask what the server says of itself."""
        return self._call('GET', '/v1/health', None, timeout_ms)

    def cancel(self, expected: Expected, timeout_ms: float) -> None:
        """Tell the server that a sub-query is of no use any more."""
        body = {
            'request_id': expected.request_id,
            'sub_query': expected.sub_query,
        }
        self._call('POST', '/v1/cancel', body, timeout_ms)

    def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_ms: float,
    ) -> Result[Any, Failure]:
        try:
            response = self._pool.request(
                method,
                path,
                body=None if body is None else json.dumps(body),
                timeout=urllib3.Timeout(total=timeout_ms / _MS),
                retries=False,
            )
        except _NEVER_SENT as error:
            return Bad(not_run(FailureCode.UNREACHABLE, self._says(error)))
        except http_errors.HTTPError as error:
            return Bad(may_have_run(FailureCode.UNREACHABLE, self._says(error)))
        return _read_json(response.status, response.data)

    def _says(self, error: Exception) -> str:
        return f'backend server {self._name}: {type(error).__name__}'


def backend_client(name: str, server: Server) -> BackendClient:
    """Build the client of one configured backend server."""
    host, _, port = server.address.rpartition(':')
    pool = urllib3.HTTPConnectionPool(
        host,
        int(port),
        maxsize=server.connections,
        block=False,
    )
    return BackendClient(name=name, pool=pool)


def _read_json(status: int, body: bytes) -> Result[Any, Failure]:
    try:
        tree = json.loads(body)
    except ValueError:
        return Bad(may_have_run(FailureCode.BAD_REPLY, 'the body is not JSON'))
    if status == _OK:
        return Success(tree)
    return Bad(_read_problem(status, tree))


def _read_problem(status: int, tree: Any) -> Failure:
    if not isinstance(tree, dict):
        return may_have_run(FailureCode.BAD_REPLY, f'status {status}')
    try:
        return Failure(
            code=FailureCode(tree['code']),
            verdict=Verdict(tree['verdict']),
            detail=str(tree.get('detail', f'status {status}')),
            retry_after_ms=tree.get('retry_after_ms'),
        )
    except (KeyError, ValueError):
        return may_have_run(FailureCode.BAD_REPLY, f'status {status}')


def _read_reply(tree: Any) -> Result[Reply, Failure]:
    try:
        records = tuple(
            Record(key=content['key'], content=content)
            for content in tree['records']
        )
        reply = Reply(
            request_id=tree['request_id'],
            sub_query=tree['sub_query'],
            snapshot=tree['snapshot'],
            span=KeyRange(lo=tree['lo'], hi=tree['hi']),
            count=tree['count'],
            records=records,
        )
    except (KeyError, TypeError) as error:
        detail = f'the reply lacks {error}'
        return Bad(may_have_run(FailureCode.BAD_REPLY, detail))
    return Success(reply)
