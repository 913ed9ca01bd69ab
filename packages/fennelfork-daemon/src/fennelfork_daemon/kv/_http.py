"""Calls of the platform's key-value service, each bounded in every way."""

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
from fennelfork_daemon.metrics._metrics import Channel, ControlCost, CountCost
from fennelfork_daemon.settings._tables import Settings

_MS: Final = 1000
_OK: Final = 200
_BAD_REQUEST: Final = 400
_INTERNAL_ERROR: Final = 500
_MAX_REPLY_BYTES: Final = 4_194_304
_WATCH_SILENCE_S: Final = 60
_NEVER_SENT: Final = (
    http_errors.NewConnectionError,
    http_errors.ConnectTimeoutError,
    http_errors.NameResolutionError,
)


@attrs.define(kw_only=True)
class KeyValueHttp:
    """Sends calls to one of several endpoints, the next one after a failure.

    Each call takes a token first, so that no loop above it, however wrong,
    can flood the platform.
    """

    _endpoints: tuple[str, ...]
    _pools: urllib3.PoolManager
    _budget: TokenBucket
    _connect_s: float
    _call_s: float
    _count_cost: CountCost
    _current: int = 0

    def call(self, path: str, body: dict[str, Any]) -> Result[Any, Failure]:
        """Make one call.

        Args:
            path: of the gateway.
            body: the request.

        Returns:
            The reply, or a failure that is `NOT_RUN` only if nothing was sent
            or the platform itself refused.
        """
        if not self._budget.try_acquire():
            return Bad(_over_budget(self._budget.wait_ms()))
        try:
            with eventlet.Timeout(self._call_s, TimeoutError('no reply')):
                return self._exchange(path, body)
        except _NEVER_SENT as error:
            return Bad(not_run(FailureCode.PLATFORM, self._failed(error)))
        except (http_errors.HTTPError, OSError, ValueError) as error:
            return Bad(may_have_run(FailureCode.PLATFORM, self._failed(error)))

    def stream(self, path: str, body: dict[str, Any]) -> Iterator[bytes]:
        """Make one call whose reply is lines without an end.

        Yields:
            Each line as it comes.

        Raises:
            OSError: if there is no stream or it broke or fell silent.
        """
        if not self._budget.try_acquire():
            raise ConnectionError('the budget of calls is used up')
        timeout = urllib3.Timeout(
            connect=self._connect_s,
            read=_WATCH_SILENCE_S,
        )
        try:
            response = self._send(path, body, timeout)
        except http_errors.HTTPError as error:
            raise ConnectionError(self._failed(error)) from error
        try:
            for line in _lines(response):
                self._count(received=len(line))
                yield line
        except http_errors.HTTPError as error:
            raise ConnectionError(type(error).__name__) from error
        finally:
            response.close()

    def _exchange(self, path: str, body: Any) -> Result[Any, Failure]:
        timeout = urllib3.Timeout(connect=self._connect_s, read=self._call_s)
        response = self._send(path, body, timeout)
        raw = response.read(_MAX_REPLY_BYTES + 1)
        self._count(received=len(raw))
        if len(raw) > _MAX_REPLY_BYTES:
            response.close()
            raise ValueError('the reply is too long')
        response.release_conn()
        if response.status == _OK:
            return Success(json.loads(raw))
        detail = f'the platform answered {response.status}'
        if _BAD_REQUEST <= response.status < _INTERNAL_ERROR:
            return Bad(not_run(FailureCode.PLATFORM, detail))
        return Bad(may_have_run(FailureCode.PLATFORM, detail))

    def _send(
        self,
        path: str,
        body: dict[str, Any],
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        endpoint = self._endpoints[self._current]
        payload = json.dumps(body).encode()
        self._count(sent=len(payload))
        return self._pools.request(
            'POST',
            f'http://{endpoint}{path}',
            body=payload,
            headers={'Content-Type': 'application/json'},
            timeout=timeout,
            retries=False,
            preload_content=False,
        )

    def _count(self, sent: int = 0, received: int = 0) -> None:
        cost = ControlCost(
            channel=Channel.PLATFORM,
            sent=sent,
            received=received,
        )
        self._count_cost(cost)

    def _failed(self, error: Exception) -> str:
        endpoint = self._endpoints[self._current]
        self._current = (self._current + 1) % len(self._endpoints)
        return f'key-value service at {endpoint}: {type(error).__name__}'


def key_value_http(
    settings: Settings,
    budget: TokenBucket,
    count_cost: CountCost,
) -> KeyValueHttp:
    """Build what calls the endpoints of the settings.

    Args:
        settings: endpoints and timeouts.
        budget: how many calls this daemon may make.
        count_cost: told the bytes of each body, without headers.
    """
    return KeyValueHttp(
        endpoints=tuple(map(str, settings.platform.key_value)),
        pools=urllib3.PoolManager(maxsize=4),
        budget=budget,
        connect_s=settings.timeouts.connect_ms / _MS,
        call_s=settings.timeouts.platform_ms / _MS,
        count_cost=count_cost,
    )


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    if response.status != _OK:
        raise ConnectionError(f'the platform answered {response.status}')
    rest = b''
    for chunk in response.stream():
        rest += chunk
        *lines, rest = rest.split(b'\n')
        yield from lines
        if len(rest) > _MAX_REPLY_BYTES:
            raise ConnectionError('a line of the watch is too long')


def _over_budget(wait_ms: float) -> Failure:
    return not_run(
        FailureCode.PLATFORM,
        'this daemon has used up its budget of calls to the platform',
        int(wait_ms) + 1,
    )
