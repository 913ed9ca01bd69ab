"""Reading of a non-idempotent request from the body of a caller."""

from typing import Any, Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, Verdict, may_have_run
from fennelfork.once import ExecuteRequest

_LONGEST_NAME: Final = 128
_LONGEST_ACTION: Final = 4096
_LONGEST_TICKET: Final = 512
_LARGEST_KEY: Final = 9_007_199_254_740_991
_TEXTS: Final = (
    ('request_id', 160),
    ('ticket', _LONGEST_TICKET),
    ('tenant', _LONGEST_NAME),
    ('class', _LONGEST_NAME),
    ('action', _LONGEST_ACTION),
)
_NUMBERS: Final = ('key', 'deadline_ms')


@attrs.frozen(kw_only=True)
class ExecuteOrder:
    """A request together with what is not part of its content.

    Attributes:
        request: what to run.
        traffic_class: for metrics.
        deadline_at_ms: reading of the daemon's clock that ends it.
    """

    request: ExecuteRequest
    traffic_class: str
    deadline_at_ms: float


def read_execute(
    front: str,
    body: dict[str, Any],
    now_ms: float,
    longest_deadline_ms: int,
) -> Result[ExecuteOrder, Failure]:
    """Check a request and take its deadline from now on.

    Returns:
        The request; or a failure that says `MAY_HAVE_RUN`, since the same id
        may have run when it came with a proper body.
    """
    problem = _problem(body, longest_deadline_ms)
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
        ExecuteOrder(
            request=request,
            traffic_class=body['class'],
            deadline_at_ms=now_ms + body['deadline_ms'],
        ),
    )


def doubted(failure: Failure) -> Failure:
    """Take back a `NOT_RUN` that speaks of an attempt, not of the id."""
    return failure.with_verdict(Verdict.MAY_HAVE_RUN)


def _problem(body: dict[str, Any], longest_deadline_ms: int) -> str | None:
    known = {*dict(_TEXTS), *_NUMBERS}
    unknown = sorted(body.keys() - known)
    if unknown:
        return f'unknown member {unknown[0]!r}'
    for member, longest in _TEXTS:
        if not _is_text(body.get(member), longest):
            return f'{member}: must be a text of 1 to {longest} characters'
    if not _is_whole(body.get('key'), 0, _LARGEST_KEY):
        return 'key: must be a whole number from 0'
    if not _is_whole(body.get('deadline_ms'), 1, longest_deadline_ms):
        return f'deadline_ms: must be from 1 to {longest_deadline_ms}'
    return None


def _is_text(text: Any, longest: int) -> bool:
    if not isinstance(text, str) or not 0 < len(text) <= longest:
        return False
    # A lone surrogate, which JSON can spell, cannot be sent on.
    return text.encode(errors='ignore').decode() == text


def _is_whole(number: Any, least: int, most: int) -> bool:
    whole = isinstance(number, int) and not isinstance(number, bool)
    return whole and least <= number <= most
