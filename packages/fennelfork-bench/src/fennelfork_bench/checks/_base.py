"""What the checkers of a history share: promises, violations, the truth."""

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
class Promise(enum.Enum):
    """The points that must always hold, in the order of the brief."""

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
    """A broken promise and the events that show it."""

    promise: Promise
    detail: str
    events: tuple[Event, ...]


@attrs.frozen(kw_only=True)
class Truth:
    """What the index holds, known apart from every process under test.

    Attributes:
        keys: the key space of the front is [0, keys).
        snapshots: the versions that ever existed.
        stamps: gives the digests, by key, of the records that match a query
            (canonical JSON) at one snapshot.
    """

    keys: int
    snapshots: frozenset[int]
    stamps: Callable[[int, str], Mapping[int, str]]


@attrs.frozen(kw_only=True)
class Limits:
    """How long the promises that name a time may take.

    Attributes:
        drain_ms: from the word to a server till its last new work.
        config_ms: from the acceptance of a version till every daemon has it.
    """

    drain_ms: float = 3000
    config_ms: float = 7000


@attrs.frozen(kw_only=True)
class Try:
    """One try of a request: what was asked and every end it had."""

    asked: Asked
    ends: tuple[Ended, ...]


@attrs.frozen(kw_only=True)
class QueryReply:
    """A query and one answer that its caller got."""

    asked: QueryAsked
    answer: QueryAnswered


def tries_of(history: History) -> tuple[Try, ...]:
    """Pair each asked request with its ends, in the order of asking."""
    ends: dict[str, list[Ended]] = {}
    for end in history.of(Ended):
        ends.setdefault(end.attempt, []).append(end)
    return tuple(
        Try(asked=asked, ends=tuple(ends.get(asked.attempt, ())))
        for asked in history.of(Asked)
    )


def replies_of(history: History) -> Iterator[QueryReply]:
    """Give every answer to a query with the query that was asked."""
    for attempt in tries_of(history):
        asked = attempt.asked
        if not isinstance(asked, QueryAsked):
            continue
        for end in attempt.ends:
            if isinstance(end, QueryAnswered):
                yield QueryReply(asked=asked, answer=end)


def reply_violations(
    promise: Promise,
    history: History,
    faults: Callable[[QueryReply], Iterable[str]],
) -> tuple[Violation, ...]:
    """Check each answer of a history by itself.

    Args:
        promise: what a faulty answer breaks.
        history: of the whole run.
        faults: says in a few words each what is wrong with an answer.
    """
    return tuple(
        Violation(
            promise=promise,
            detail=detail,
            events=(reply.asked, reply.answer),
        )
        for reply in replies_of(history)
        for detail in faults(reply)
    )
