"""Parser for the JSON body of a non-idempotent request."""

from typing import Any, Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, Verdict, may_have_run
from fennelfork.once import ExecuteRequest

_MAX_NAME_CHARS: Final = 128
_MAX_ACTION_CHARS: Final = 4096
_MAX_TICKET_CHARS: Final = 512
_MAX_KEY: Final = 9_007_199_254_740_991
_STRING_MEMBERS: Final = (
    ('request_id', 160),
    ('ticket', _MAX_TICKET_CHARS),
    ('tenant', _MAX_NAME_CHARS),
    ('class', _MAX_NAME_CHARS),
    ('action', _MAX_ACTION_CHARS),
)
_INTEGER_MEMBERS: Final = ('key', 'deadline_ms')


@attrs.frozen(kw_only=True)
class ReceivedRequest:
    """Non-idempotent request with its deadline and traffic class.

    Attributes:
        request: content of the request.
        traffic_class: label for metrics.
        deadline_at_ms: clock reading of the deadline, in milliseconds.
    """

    request: ExecuteRequest
    traffic_class: str
    deadline_at_ms: float


def read_execute(
    front: str,
    body: dict[str, Any],
    now_ms: float,
    max_deadline_ms: int,
) -> Result[ReceivedRequest, Failure]:
    """Validate the body of a request and compute its deadline.

    Returns:
        The request, or a failure with the verdict `MAY_HAVE_RUN`, since an
        earlier request with the same id and a valid body may have run.
    """
    problem = _find_problem(body, max_deadline_ms)
    if problem is not None:
        return Failed(may_have_run(FailureCode.BAD_REQUEST, problem))
    request = ExecuteRequest(
        request_id=body['request_id'],
        ticket=body['ticket'],
        front=front,
        key=body['key'],
        action=body['action'],
        tenant=body['tenant'],
    )
    return Success(
        ReceivedRequest(
            request=request,
            traffic_class=body['class'],
            deadline_at_ms=now_ms + body['deadline_ms'],
        ),
    )


def with_unknown_verdict(failure: Failure) -> Failure:
    """Replace the verdict, since earlier requests with the id may have run."""
    return failure.with_verdict(Verdict.MAY_HAVE_RUN)


def _find_problem(body: dict[str, Any], max_deadline_ms: int) -> str | None:
    known = {*dict(_STRING_MEMBERS), *_INTEGER_MEMBERS}
    unknown = sorted(body.keys() - known)
    if unknown:
        return f'unknown member {unknown[0]!r}'
    for member, max_chars in _STRING_MEMBERS:
        if not _is_text(body.get(member), max_chars):
            return f'{member}: must be a text of 1 to {max_chars} characters'
    if not _is_integer(body.get('key'), 0, _MAX_KEY):
        return 'key: must be a whole number from 0'
    if not _is_integer(body.get('deadline_ms'), 1, max_deadline_ms):
        return f'deadline_ms: must be from 1 to {max_deadline_ms}'
    return None


def _is_text(text: Any, max_chars: int) -> bool:
    if not isinstance(text, str) or not 0 < len(text) <= max_chars:
        return False
    # JSON can escape lone surrogates, which cannot be encoded as UTF-8.
    return text.encode(errors='ignore').decode() == text


def _is_integer(number: Any, minimum: int, maximum: int) -> bool:
    is_integer = isinstance(number, int) and not isinstance(number, bool)
    return is_integer and minimum <= number <= maximum
