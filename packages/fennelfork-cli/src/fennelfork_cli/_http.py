"""Calls of a daemon's HTTP faces."""

import json
from typing import Any, Final

import attrs
import urllib3
from returns.result import Failure, Result, Success

from fennelfork import Verdict

_MS_PER_SECOND: Final = 1000
_ERRORS_FROM: Final = 400
_UNREACHED: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)

Tree = dict[str, Any]


@attrs.frozen(kw_only=True)
class CallFailure:
    """A call that gave no answer of success.

    Attributes:
        verdict: whether the daemon or a backend server may have acted on it.
        detail: one sentence for a person.
        problem: the problem document, if the daemon answered with one.
    """

    verdict: Verdict
    detail: str
    problem: Tree = attrs.field(factory=dict)

    @property
    def code(self) -> str:
        """The failure code that the daemon gave, or `unreachable`."""
        return str(self.problem.get('code', 'unreachable'))


@attrs.frozen(kw_only=True)
class Call:
    """One HTTP call.

    Attributes:
        address: `ip:port` of the face.
        path: path and query string.
        body: what to POST; a GET without it.
        timeout_ms: for the whole call.
    """

    address: str
    path: str
    body: Tree | None = None
    timeout_ms: int


def send(call: Call) -> Result[Tree, CallFailure]:
    """Make a call once, without retries.

    Returns:
        The JSON object of a success, or what is known of the failure.
    """
    seconds = call.timeout_ms / _MS_PER_SECOND
    try:
        response = urllib3.request(
            'GET' if call.body is None else 'POST',
            f'http://{call.address}{call.path}',
            body=None if call.body is None else json.dumps(call.body),
            headers={'Content-Type': 'application/json'},
            timeout=urllib3.Timeout(total=seconds),
            retries=False,
            redirect=False,
        )
    except urllib3.exceptions.HTTPError as err:
        return Failure(_lost(call, err))
    return _read(call, response)


def _lost(call: Call, err: urllib3.exceptions.HTTPError) -> CallFailure:
    verdict = Verdict.MAY_HAVE_RUN
    if isinstance(err, _UNREACHED) or call.body is None:
        verdict = Verdict.NOT_RUN
    return CallFailure(
        verdict=verdict,
        detail=f'{call.address} gave no answer: {_reason(err)}',
    )


def _reason(err: urllib3.exceptions.HTTPError) -> str:
    if isinstance(err, _UNREACHED):
        return 'cannot connect'
    if isinstance(err, urllib3.exceptions.TimeoutError):
        return 'timed out'
    return 'the connection was lost'


def _read(
    call: Call,
    response: urllib3.BaseHTTPResponse,
) -> Result[Tree, CallFailure]:
    try:
        tree = json.loads(response.data)
    except ValueError:
        tree = None
    if not isinstance(tree, dict):
        return Failure(
            CallFailure(
                verdict=_unread_verdict(call),
                detail=f'{call.address} answered {response.status} '
                'with something that is no JSON object',
            ),
        )
    if response.status < _ERRORS_FROM:
        return Success(tree)
    return Failure(_refused(call, response.status, tree))


def _refused(call: Call, status: int, tree: Tree) -> CallFailure:
    known = {verdict.value for verdict in Verdict}
    stated = tree.get('verdict')
    verdict = Verdict(stated) if stated in known else _unread_verdict(call)
    detail = tree.get('detail') or f'{call.address} answered {status}'
    return CallFailure(verdict=verdict, detail=str(detail), problem=tree)


def _unread_verdict(call: Call) -> Verdict:
    return Verdict.NOT_RUN if call.body is None else Verdict.MAY_HAVE_RUN
