"""Shared types of the checkers: guarantees, violations, index contents."""

import enum
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from fennelfork_bench.history._caller import (
    Asked,
    Ended,
    QueryAnswered,
    QueryAsked,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History


@enum.unique
class Guarantee(enum.Enum):
    """Guarantees that must hold in every history."""

    ONE_SNAPSHOT = 'one_snapshot'
    TRUE_COVERAGE = 'true_coverage'
    OWN_ANSWER = 'own_answer'
    TRUE_REFUSAL = 'true_refusal'
    AT_MOST_ONCE = 'at_most_once'
    DRAIN = 'drain'
    GRACEFUL_STOP = 'graceful_stop'
    CONFIGURATION = 'configuration'


@attrs.frozen(kw_only=True)
class Violation:
    """A violated guarantee and the events that prove the violation."""

    guarantee: Guarantee
    detail: str
    events: tuple[Event, ...]


@attrs.frozen(kw_only=True)
class ExpectedIndex:
    """Expected contents of the index, independent of the tested processes.

    Attributes:
        keys: size of the key space of the front, which is [0, keys).
        snapshots: all versions of the index that existed.
        stamps: function that returns the digests, by key, of the records
            that match a query (canonical JSON) at one snapshot.
    """

    keys: int
    snapshots: frozenset[int]
    stamps: Callable[[int, str], Mapping[int, str]]


@attrs.frozen(kw_only=True)
class TimeLimits:
    """Time limits of the guarantees that have one.

    Attributes:
        drain_ms: maximum time from a drain request to the last new request
            that the server receives.
        config_ms: maximum time from the acceptance of a configuration
            version to its use by every daemon.
    """

    drain_ms: float = 3000
    config_ms: float = 7000


@attrs.frozen(kw_only=True)
class CallerAttempt:
    """One attempt of a caller: the request and all recorded ends."""

    asked: Asked
    ends: tuple[Ended, ...]


@attrs.frozen(kw_only=True)
class QueryReply:
    """A query and one answer that its caller received."""

    asked: QueryAsked
    answer: QueryAnswered


def caller_attempts(history: History) -> tuple[CallerAttempt, ...]:
    """Return each sent request with its outcome events, in sending order."""
    ends: dict[str, list[Ended]] = {}
    for end in history.of_type(Ended):
        ends.setdefault(end.attempt, []).append(end)
    return tuple(
        CallerAttempt(asked=asked, ends=tuple(ends.get(asked.attempt, ())))
        for asked in history.of_type(Asked)
    )


def query_replies(history: History) -> Iterator[QueryReply]:
    """Yield each answer to a query together with the query."""
    for attempt in caller_attempts(history):
        asked = attempt.asked
        if not isinstance(asked, QueryAsked):
            continue
        for end in attempt.ends:
            if isinstance(end, QueryAnswered):
                yield QueryReply(asked=asked, answer=end)


def check_replies(
    guarantee: Guarantee,
    history: History,
    find_problems: Callable[[QueryReply], Iterable[str]],
) -> tuple[Violation, ...]:
    """Check each answer of a history separately.

    Args:
        guarantee: guarantee that a wrong answer violates.
        history: all events of one test run.
        find_problems: function that describes each problem of an answer.
    """
    return tuple(
        Violation(
            guarantee=guarantee,
            detail=detail,
            events=(reply.asked, reply.answer),
        )
        for reply in query_replies(history)
        for detail in find_problems(reply)
    )
