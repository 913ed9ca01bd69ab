"""Race of operators that patch the configuration at the same time."""

import random
import time
from collections import Counter
from typing import Final

import attrs
import eventlet

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import (
    await_version,
    fetch_version,
    send_patch,
)
from fennelfork_bench.rig._fleet import Fleet

_OPERATORS: Final = 8
_PATCHES_PER_OPERATOR: Final = 5
_MAX_ATTEMPTS: Final = 400
_PAUSE_S: Final = 0.05
_LOSS_PAUSE_S: Final = 0.3
_CONFLICT: Final = 409
_INITIAL_VERSION: Final = 1
_VERSION: Final = 'version'


@attrs.define(kw_only=True)
class RaceLog:
    """Outcomes of the patches and observations of the versions.

    Attributes:
        accepted: version of each accepted patch, by patch id.
        conflicts: number of patches refused because of a newer version.
        unknown: number of responses that neither accept nor refuse a patch.
        reverted: number of times that a daemon returned to a lower version.
        is_over: whether the observer and the fault injection stop.
    """

    accepted: dict[str, int] = attrs.field(factory=dict)
    conflicts: int = 0
    unknown: int = 0
    reverted: int = 0
    is_over: bool = False


def run_patch_race(fleet: Fleet, lose_replies: bool) -> dict[str, float]:
    """Run operators that patch the same versions concurrently.

    Args:
        fleet: fleet with the active configuration version 1.
        lose_replies: whether the store loses some responses to writes.

    Returns:
        Counts, including skipped, duplicate and reverted versions.
    """
    log = RaceLog()
    background = eventlet.GreenPool()
    background.spawn(_observe_versions, fleet.operators, log)
    if lose_replies:
        background.spawn(_lose_replies, fleet, log)
    operators = eventlet.GreenPool()
    for number in range(_OPERATORS):
        address = fleet.operators[number % len(fleet.operators)]
        operators.spawn(_run_operator, address, f'operator-{number}', log)
    operators.waitall()
    newest = max(log.accepted.values(), default=0)
    await_version(fleet, newest)
    log.is_over = True
    background.waitall()
    return _counts(fleet, log)


def _run_operator(address: str, author: str, log: RaceLog) -> None:
    base = _INITIAL_VERSION
    accepted_count = 0
    for _ in range(_MAX_ATTEMPTS):
        patch_id = f'{author}-{accepted_count + 1}'
        patch = {'tenants': {author: {'weight': accepted_count + 1}}}
        reply = send_patch(address, patch, base, author, patch_id)
        if reply.is_success:
            accepted_count += 1
            log.accepted[patch_id] = reply.body[_VERSION]
        elif reply.status == _CONFLICT:
            log.conflicts += 1
        else:
            log.unknown += 1
            time.sleep(_PAUSE_S)
        base = reply.body.get(_VERSION, base)
        if accepted_count == _PATCHES_PER_OPERATOR:
            return


def _observe_versions(operators: list[str], log: RaceLog) -> None:
    highest: Counter[str] = Counter()
    rng = random.Random(_INITIAL_VERSION)
    while not log.is_over:
        operator = rng.choice(operators)
        current = fetch_version(operator)
        if 0 <= current < highest[operator]:
            log.reverted += 1
        highest[operator] = max(highest[operator], current)
        time.sleep(_PAUSE_S)


def _lose_replies(fleet: Fleet, log: RaceLog) -> None:
    while not log.is_over:
        fleet.platform.set_faults(lose_replies=1)
        time.sleep(_LOSS_PAUSE_S)
    fleet.platform.set_faults(lose_replies=0)


def _counts(fleet: Fleet, log: RaceLog) -> dict[str, float]:
    history = http.get(fleet.operators[0], '/v1/config/history').body
    recorded = [each[_VERSION] for each in history['patches']]
    calls = fleet.platform.log()['calls']
    accepted_versions = list(log.accepted.values())
    return {
        'operators': _OPERATORS,
        'wanted': _OPERATORS * _PATCHES_PER_OPERATOR,
        'accepted': len(accepted_versions),
        'conflicts': log.conflicts,
        'unknown_replies': log.unknown,
        'writes_without_reply': sum(
            call['outcome'] == 'reply_lost' for call in calls
        ),
        'skipped': _count_skipped(recorded)
        + _count_skipped([_INITIAL_VERSION, *accepted_versions]),
        'doubled': _count_duplicates(recorded)
        + _count_duplicates(accepted_versions),
        'reverted': log.reverted,
    }


def _count_skipped(versions: list[int]) -> int:
    span = range(min(versions), max(versions) + 1)
    return len(set(span).difference(versions))


def _count_duplicates(versions: list[int]) -> int:
    return len(versions) - len(set(versions))
