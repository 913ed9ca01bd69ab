"""Reading of a caller's query from its JSON body."""

from typing import Any, Final

from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Clock, Failure, FailureCode, not_run
from fennelfork.gather import (
    CompleteCoverage,
    CoverageDemand,
    PartialCoverage,
    QueryRequest,
)

_KNOWN: Final = frozenset(
    (
        'request_id',
        'deadline_ms',
        'tenant',
        'class',
        'query',
        'coverage',
    ),
)
_LONGEST_NAME: Final = 128


class _Invalid(ValueError):
    """A body that is no query; says what is wrong and what is allowed."""


def read_query(
    front: str,
    body: dict[str, Any],
    clock: Clock,
    longest_deadline_ms: int,
) -> Result[QueryRequest, Failure]:
    """Check a query and take its deadline from now on.

    Args:
        front: the front named by the path.
        body: the JSON object of the request.
        clock: of this daemon.
        longest_deadline_ms: the most that a caller may ask for.

    Returns:
        The query, or a failure that names the member that is wrong.
    """
    try:
        return Success(_query(front, body, clock, longest_deadline_ms))
    except _Invalid as error:
        return Bad(not_run(FailureCode.BAD_REQUEST, str(error)))


def _query(
    front: str,
    body: dict[str, Any],
    clock: Clock,
    longest_deadline_ms: int,
) -> QueryRequest:
    unknown = sorted(body.keys() - _KNOWN)
    if unknown:
        known = ', '.join(sorted(_KNOWN))
        raise _Invalid(f'unknown member {unknown[0]!r}; known are {known}')
    deadline_ms = _deadline(body, longest_deadline_ms)
    query = body.get('query', {})
    if not isinstance(query, dict):
        raise _Invalid('query: must be an object')
    return QueryRequest(
        request_id=_name(body, 'request_id'),
        front=front,
        deadline_at_ms=clock.now_ms() + deadline_ms,
        tenant=_name(body, 'tenant'),
        traffic_class=_name(body, 'class'),
        query=query,
        demand=_demand(body.get('coverage', {})),
    )


def _name(body: dict[str, Any], member: str) -> str:
    text = body.get(member)
    if not isinstance(text, str) or not 0 < len(text) <= _LONGEST_NAME:
        raise _Invalid(
            f'{member}: must be a text of 1 to {_LONGEST_NAME} characters',
        )
    if not _is_unicode(text):
        raise _Invalid(f'{member}: must not hold half of a character')
    return text


def _is_unicode(text: str) -> bool:
    """Tell whether a text can be sent on; JSON also writes lone surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _deadline(body: dict[str, Any], longest_ms: int) -> int:
    wanted = body.get('deadline_ms')
    if not _is_whole(wanted) or not 0 < wanted <= longest_ms:
        raise _Invalid(
            f'deadline_ms: must be a whole number from 1 to {longest_ms}',
        )
    return int(wanted)


def _demand(coverage: Any) -> CoverageDemand:
    if not isinstance(coverage, dict):
        raise _Invalid('coverage: must be an object')
    mode = coverage.get('mode', 'whole')
    if mode == 'whole':
        return CompleteCoverage()
    if mode != 'partial':
        raise _Invalid('coverage.mode: must be "whole" or "partial"')
    floor = coverage.get('floor', 0)
    number = isinstance(floor, int | float) and not isinstance(floor, bool)
    if not number or not 0 <= floor <= 1:
        raise _Invalid('coverage.floor: must be a number from 0 to 1')
    return PartialCoverage(floor=floor)


def _is_whole(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)
