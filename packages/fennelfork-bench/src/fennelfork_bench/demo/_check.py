"""Check of an answer against the records of the backend servers."""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork_bench.backend_server._records import record_at
from fennelfork_bench.rig._caller import RequestResult

_FRONT_SEED: Final = 1
_TOLERANCE: Final = 1e-6


@attrs.frozen(kw_only=True)
class ExpectedAnswer:
    """Expected content of an answer.

    Attributes:
        keys: size of the key space of the front.
        wanted: keys that the query matches; None means all keys.
        complete: whether the answer must be complete.
    """

    keys: int
    wanted: frozenset[int] | None = None
    complete: bool = True


def find_faults(asked: RequestResult, expected: ExpectedAnswer) -> list[str]:
    """Return the faults of an answer; an empty list if it is correct.

    Args:
        asked: request and its answer.
        expected: expected content of the answer.

    Returns:
        Description of each fault.
    """
    body = asked.reply.body
    if not asked.reply.is_success:
        return [f'no answer: {asked.reply.status} {body.get("detail", "")}']
    missing = _missing_keys(body['coverage'])
    checks = (
        (body['request_id'] == asked.request_id, 'answer to another request'),
        (_are_records_correct(body, expected, missing), 'wrong records'),
        (_is_fraction_correct(body, expected, missing), 'wrong coverage'),
        (
            body['coverage']['complete'] is not bool(missing),
            'complete contradicts the missing ranges',
        ),
        (not (expected.complete and missing), 'not complete'),
    )
    return [description for is_correct, description in checks if not is_correct]


def _missing_keys(coverage: dict[str, Any]) -> set[int]:
    spans = coverage['missing']
    return {key for span in spans for key in range(span['lo'], span['hi'])}


def _are_records_correct(
    body: dict[str, Any],
    expected: ExpectedAnswer,
    missing: Iterable[int],
) -> bool:
    wanted = expected.wanted
    if wanted is None:
        wanted = frozenset(range(expected.keys))
    snapshot = body['snapshot']
    expected_records = [
        attrs.asdict(record_at(_FRONT_SEED, key, snapshot))
        for key in sorted(wanted.difference(missing))
    ]
    return bool(body['records'] == expected_records)


def _is_fraction_correct(
    body: dict[str, Any],
    expected: ExpectedAnswer,
    missing: set[int],
) -> bool:
    fraction = 1 - len(missing) / expected.keys
    return bool(abs(body['coverage']['fraction'] - fraction) < _TOLERANCE)
