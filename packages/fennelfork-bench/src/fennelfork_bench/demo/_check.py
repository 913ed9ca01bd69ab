"""Judges one answer against what the backend servers hold."""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork_bench.backend_server._records import record_at
from fennelfork_bench.rig._caller import Asked

_FRONT_SEED: Final = 1
_NEAR: Final = 1e-6


@attrs.frozen(kw_only=True)
class Expected:
    """What a right answer holds.

    Attributes:
        keys: key space of the front.
        wanted: keys that the query matches; none means all.
        complete: whether nothing may be missing.
    """

    keys: int
    wanted: frozenset[int] | None = None
    complete: bool = True


def faults_of(asked: Asked, expected: Expected) -> list[str]:
    """List what is wrong with an answer; nothing if it is right.

    Args:
        asked: the request and its answer.
        expected: what is right.

    Returns:
        One sentence a fault.
    """
    body = asked.reply.body
    if not asked.reply.fine:
        return [f'no answer: {asked.reply.status} {body.get("detail", "")}']
    missing = _missing_keys(body['coverage'])
    checks = (
        (body['request_id'] == asked.request_id, 'answer to another request'),
        (_records_match(body, expected, missing), 'wrong records'),
        (_fraction_is_true(body, expected, missing), 'coverage is not true'),
        (
            body['coverage']['complete'] is not bool(missing),
            'complete contradicts what is missing',
        ),
        (not (expected.complete and missing), 'not complete'),
    )
    return [fault for holds, fault in checks if not holds]


def _missing_keys(coverage: dict[str, Any]) -> set[int]:
    spans = coverage['missing']
    return {key for span in spans for key in range(span['lo'], span['hi'])}


def _records_match(
    body: dict[str, Any],
    expected: Expected,
    missing: Iterable[int],
) -> bool:
    wanted = expected.wanted
    if wanted is None:
        wanted = frozenset(range(expected.keys))
    snapshot = body['snapshot']
    right = [
        attrs.asdict(record_at(_FRONT_SEED, key, snapshot))
        for key in sorted(wanted.difference(missing))
    ]
    return bool(body['records'] == right)


def _fraction_is_true(
    body: dict[str, Any],
    expected: Expected,
    missing: set[int],
) -> bool:
    fraction = 1 - len(missing) / expected.keys
    return bool(abs(body['coverage']['fraction'] - fraction) < _NEAR)
