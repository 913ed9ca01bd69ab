"""HTTP client of the operator API and the caller API of a daemon."""

import json
from typing import Any, Final

import attrs
import urllib3
from returns.result import Failure, Result, Success
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from fennelfork import Verdict
from fennelfork.responses import MalformedMessage, StrictResponse

_MS_PER_SECOND: Final = 1000
_MIN_ERROR_STATUS: Final = 400
_CONNECT_ERRORS: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)

JsonObject = dict[str, Any]


class _StrictConnection(HTTPConnection):
    """Connection of urllib3 whose responses are read strictly."""

    response_class = StrictResponse


class _StrictPool(HTTPConnectionPool):
    """Connection pool of urllib3 whose responses are read strictly."""

    ConnectionCls = _StrictConnection


@attrs.frozen(kw_only=True)
class RequestFailure:
    """Failure of an API request.

    Attributes:
        verdict: whether the request may have run.
        detail: description of the failure, one sentence.
        problem: problem document that the daemon returned; empty if the
            daemon returned none.
    """

    verdict: Verdict
    detail: str
    problem: JsonObject = attrs.field(factory=dict)

    @property
    def code(self) -> str:
        """Failure code of the problem document, or `unreachable`."""
        return str(self.problem.get('code', 'unreachable'))


@attrs.frozen(kw_only=True)
class ApiRequest:
    """HTTP request to the operator API or the caller API of a daemon.

    Attributes:
        address: `ip:port` of the API.
        path: path and query string.
        body: JSON body of a POST request; the method is GET without a body.
        timeout_ms: timeout of the whole request.
    """

    address: str
    path: str
    body: JsonObject | None = None
    timeout_ms: int


def send_request(request: ApiRequest) -> Result[JsonObject, RequestFailure]:
    """Send a request once, without retries.

    Returns:
        JSON object of a successful response, or the failure.
    """
    seconds = request.timeout_ms / _MS_PER_SECOND
    pools = urllib3.PoolManager()
    pools.pool_classes_by_scheme = {'http': _StrictPool}
    try:
        response = pools.request(
            'GET' if request.body is None else 'POST',
            f'http://{request.address}{request.path}',
            body=None if request.body is None else json.dumps(request.body),
            headers={'Content-Type': 'application/json'},
            timeout=urllib3.Timeout(total=seconds),
            retries=False,
            redirect=False,
        )
    except urllib3.exceptions.HTTPError as err:
        return Failure(_build_transport_failure(request, err))
    return _parse_response(request, response)


def _build_transport_failure(
    request: ApiRequest, err: urllib3.exceptions.HTTPError
) -> RequestFailure:
    verdict = Verdict.MAY_HAVE_RUN
    if isinstance(err, _CONNECT_ERRORS) or request.body is None:
        verdict = Verdict.NOT_RUN
    return RequestFailure(
        verdict=verdict,
        detail=f'no response from {request.address}: {_describe_error(err)}',
    )


def _describe_error(err: urllib3.exceptions.HTTPError) -> str:
    if isinstance(err, _CONNECT_ERRORS):
        return 'cannot connect'
    if isinstance(err, urllib3.exceptions.TimeoutError):
        return 'timed out'
    if isinstance(err.__cause__ or err.__context__, MalformedMessage):
        return 'the answer breaks RFC 9112'
    return 'the connection was lost'


def _parse_response(
    request: ApiRequest,
    response: urllib3.BaseHTTPResponse,
) -> Result[JsonObject, RequestFailure]:
    try:
        payload = json.loads(response.data)
    except (ValueError, RecursionError):
        payload = None
    if not isinstance(payload, dict):
        return Failure(
            RequestFailure(
                verdict=_default_verdict(request),
                detail=f'the body of the response {response.status} '
                f'from {request.address} is not a JSON object',
            ),
        )
    if response.status < _MIN_ERROR_STATUS:
        return Success(payload)
    return Failure(_build_problem_failure(request, response.status, payload))


def _build_problem_failure(
    request: ApiRequest, status: int, payload: JsonObject
) -> RequestFailure:
    known = {verdict.value for verdict in Verdict}
    reported = payload.get('verdict')
    verdict = (
        Verdict(reported) if reported in known else _default_verdict(request)
    )
    detail = (
        payload.get('detail') or f'{request.address} returned status {status}'
    )
    return RequestFailure(verdict=verdict, detail=str(detail), problem=payload)


def _default_verdict(request: ApiRequest) -> Verdict:
    return Verdict.NOT_RUN if request.body is None else Verdict.MAY_HAVE_RUN
