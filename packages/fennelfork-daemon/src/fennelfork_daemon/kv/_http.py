"""HTTP client of the platform's key-value service."""

import json
from collections.abc import Iterator
from typing import Any, Final

import attrs
import eventlet
import urllib3
from returns.result import Failure as Bad
from returns.result import Result, Success
from urllib3 import exceptions as http_errors

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork.config import TokenBucket
from fennelfork_daemon._http_connection import (
    complete_pool_manager,
    describe_error,
)
from fennelfork_daemon._json_document import parse_json
from fennelfork_daemon.metrics._metrics import Channel, ControlCost, CountCost
from fennelfork_daemon.settings._tables import Settings

_MS_PER_S: Final = 1000
_OK: Final = 200
_BAD_REQUEST: Final = 400
_INTERNAL_ERROR: Final = 500
_MAX_REPLY_BYTES: Final = 4_194_304
_READ_BYTES: Final = 65_536
_WATCH_READ_TIMEOUT_S: Final = 60
_NOT_SENT_ERRORS: Final = (
    http_errors.NewConnectionError,
    http_errors.ConnectTimeoutError,
    http_errors.NameResolutionError,
)


@attrs.define(kw_only=True)
class KeyValueHttp:
    """Sends requests to one endpoint and switches endpoints after a failure.

    Each request takes a token of a token bucket, so that a faulty loop in the
    daemon cannot overload the platform.
    """

    _endpoints: tuple[str, ...]
    _pools: urllib3.PoolManager
    _budget: TokenBucket
    _connect_timeout_s: float
    _call_timeout_s: float
    _count_cost: CountCost
    _endpoint_index: int = 0

    def call(self, path: str, body: dict[str, Any]) -> Result[Any, Failure]:
        """Send a request and wait for the response.

        Args:
            path: URL path of the gateway.
            body: JSON object of the request.

        Returns:
            The parsed response, or a failure. The verdict of the failure is
            `NOT_RUN` only if nothing was sent or the platform refused.
        """
        if not self._budget.try_acquire():
            return Bad(_budget_exhausted(self._budget.wait_ms()))
        try:
            with eventlet.Timeout(
                self._call_timeout_s, TimeoutError('no response')
            ):
                return self._exchange(path, body)
        except _NOT_SENT_ERRORS as error:
            return Bad(
                not_run(FailureCode.PLATFORM, self._rotate_endpoint(error))
            )
        except (http_errors.HTTPError, OSError, ValueError) as error:
            return Bad(
                may_have_run(FailureCode.PLATFORM, self._rotate_endpoint(error))
            )

    def stream(self, path: str, body: dict[str, Any]) -> Iterator[bytes]:
        """Send a request whose response is an unbounded stream of lines.

        Yields:
            Each line of the response.

        Raises:
            OSError: if the stream cannot be opened, breaks or times out.
        """
        if not self._budget.try_acquire():
            raise ConnectionError(
                'the rate limit of requests to the platform is exceeded'
            )
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s,
            read=_WATCH_READ_TIMEOUT_S,
        )
        try:
            response = self._send(path, body, timeout)
        except http_errors.HTTPError as error:
            raise ConnectionError(self._rotate_endpoint(error)) from error
        try:
            for line in _iterate_lines(response):
                self._record_cost(received=len(line))
                yield line
        except http_errors.HTTPError as error:
            raise ConnectionError(describe_error(error)) from error
        finally:
            response.close()

    def _exchange(self, path: str, body: Any) -> Result[Any, Failure]:
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s, read=self._call_timeout_s
        )
        response = self._send(path, body, timeout)
        raw = response.read(_MAX_REPLY_BYTES + 1)
        self._record_cost(received=len(raw))
        if len(raw) > _MAX_REPLY_BYTES:
            response.close()
            raise ValueError('the response is too long')
        response.release_conn()
        if response.status == _OK:
            return Success(parse_json(raw))
        detail = f'the platform responded with status {response.status}'
        if _BAD_REQUEST <= response.status < _INTERNAL_ERROR:
            return Bad(not_run(FailureCode.PLATFORM, detail))
        return Bad(may_have_run(FailureCode.PLATFORM, detail))

    def _send(
        self,
        path: str,
        body: dict[str, Any],
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        endpoint = self._endpoints[self._endpoint_index]
        payload = json.dumps(body).encode()
        self._record_cost(sent=len(payload))
        return self._pools.request(
            'POST',
            f'http://{endpoint}{path}',
            body=payload,
            headers={'Content-Type': 'application/json'},
            timeout=timeout,
            retries=False,
            preload_content=False,
        )

    def _record_cost(self, sent: int = 0, received: int = 0) -> None:
        cost = ControlCost(
            channel=Channel.PLATFORM,
            sent=sent,
            received=received,
        )
        self._count_cost(cost)

    def _rotate_endpoint(self, error: Exception) -> str:
        endpoint = self._endpoints[self._endpoint_index]
        self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)
        return f'key-value service at {endpoint}: {describe_error(error)}'


def key_value_http(
    settings: Settings,
    budget: TokenBucket,
    count_cost: CountCost,
) -> KeyValueHttp:
    """Build the client of the endpoints in the settings.

    Args:
        settings: settings with endpoints and timeouts.
        budget: token bucket that limits the rate of requests.
        count_cost: callback that counts the bytes of each body, without
            headers.
    """
    return KeyValueHttp(
        endpoints=tuple(map(str, settings.platform.key_value)),
        pools=complete_pool_manager(maxsize=4),
        budget=budget,
        connect_timeout_s=settings.timeouts.connect_ms / _MS_PER_S,
        call_timeout_s=settings.timeouts.platform_ms / _MS_PER_S,
        count_cost=count_cost,
    )


def _iterate_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    if response.status != _OK:
        raise ConnectionError(
            f'the platform responded with status {response.status}'
        )
    remainder = b''
    # `read1` uses the strict chunk parser; `stream` of urllib3 does not.
    while chunk := response.read1(_READ_BYTES):
        remainder += chunk
        *lines, remainder = remainder.split(b'\n')
        yield from lines
        if len(remainder) > _MAX_REPLY_BYTES:
            raise ConnectionError('a line of the watch is too long')


def _budget_exhausted(wait_ms: float) -> Failure:
    return not_run(
        FailureCode.PLATFORM,
        'the rate limit of requests to the platform is exceeded',
        int(wait_ms) + 1,
    )
