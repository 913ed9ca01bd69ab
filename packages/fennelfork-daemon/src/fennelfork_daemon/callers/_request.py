"""Parser for the JSON body of a query."""

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

_MEMBERS: Final = frozenset(
    (
        'request_id',
        'deadline_ms',
        'tenant',
        'class',
        'query',
        'coverage',
    ),
)
_MAX_NAME_CHARS: Final = 128


class _InvalidQueryError(ValueError):
    """Invalid query body; the message names the invalid member."""


def read_query(
    front: str,
    body: dict[str, Any],
    clock: Clock,
    max_deadline_ms: int,
) -> Result[QueryRequest, Failure]:
    """Validate the body of a query and compute its deadline.

    Args:
        front: name of the front in the request path.
        body: the JSON object of the request.
        clock: clock of this daemon.
        max_deadline_ms: longest deadline that a caller may request, in
            milliseconds.

    Returns:
        The query, or a failure that names the invalid member.
    """
    try:
        return Success(_parse_query(front, body, clock, max_deadline_ms))
    except _InvalidQueryError as error:
        return Bad(not_run(FailureCode.BAD_REQUEST, str(error)))


def _parse_query(
    front: str,
    body: dict[str, Any],
    clock: Clock,
    max_deadline_ms: int,
) -> QueryRequest:
    unknown = sorted(body.keys() - _MEMBERS)
    if unknown:
        known = ', '.join(sorted(_MEMBERS))
        raise _InvalidQueryError(
            f'unknown member {unknown[0]!r}; known are {known}'
        )
    deadline_ms = _parse_deadline(body, max_deadline_ms)
    query = body.get('query', {})
    if not isinstance(query, dict):
        raise _InvalidQueryError('query: must be an object')
    return QueryRequest(
        request_id=_parse_name(body, 'request_id'),
        front=front,
        deadline_at_ms=clock.now_ms() + deadline_ms,
        tenant=_parse_name(body, 'tenant'),
        traffic_class=_parse_name(body, 'class'),
        query=query,
        demand=_parse_coverage(body.get('coverage', {})),
    )


def _parse_name(body: dict[str, Any], member: str) -> str:
    text = body.get(member)
    if not isinstance(text, str) or not 0 < len(text) <= _MAX_NAME_CHARS:
        raise _InvalidQueryError(
            f'{member}: must be a text of 1 to {_MAX_NAME_CHARS} characters',
        )
    if not _is_unicode(text):
        raise _InvalidQueryError(f'{member}: must not contain a lone surrogate')
    return text


def _is_unicode(text: str) -> bool:
    """Whether a string has no lone surrogates, which JSON can escape."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_deadline(body: dict[str, Any], max_deadline_ms: int) -> int:
    deadline_ms = body.get('deadline_ms')
    if not _is_integer(deadline_ms) or not 0 < deadline_ms <= max_deadline_ms:
        raise _InvalidQueryError(
            f'deadline_ms: must be a whole number from 1 to {max_deadline_ms}',
        )
    return int(deadline_ms)


def _parse_coverage(coverage: Any) -> CoverageDemand:
    if not isinstance(coverage, dict):
        raise _InvalidQueryError('coverage: must be an object')
    mode = coverage.get('mode', 'whole')
    if mode == 'whole':
        return CompleteCoverage()
    if mode != 'partial':
        raise _InvalidQueryError('coverage.mode: must be "whole" or "partial"')
    floor = coverage.get('floor', 0)
    is_number = isinstance(floor, int | float) and not isinstance(floor, bool)
    if not is_number or not 0 <= floor <= 1:
        raise _InvalidQueryError('coverage.floor: must be a number from 0 to 1')
    return PartialCoverage(floor=floor)


def _is_integer(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)
