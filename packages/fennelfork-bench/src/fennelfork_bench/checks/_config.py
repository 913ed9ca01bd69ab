"""An accepted configuration is in force everywhere and never reverts."""

from collections.abc import Iterator, Sequence

from fennelfork_bench.checks._base import (
    Limits,
    Promise,
    Try,
    Violation,
    tries_of,
)
from fennelfork_bench.history._caller import (
    Ended,
    ExecuteAnswered,
    QueryAnswered,
)
from fennelfork_bench.history._daemon import (
    DaemonEvent,
    Resumed,
    Started,
    VersionSeen,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History
from fennelfork_bench.history._operator import PatchAccepted


def check_in_force(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Find daemons that lag behind, revert or disagree on a version."""
    return (
        *_late(history, limits),
        *_reverted(history),
        *_reverted_answers(history),
        *_disagreeing(history),
    )


def _late(history: History, limits: Limits) -> Iterator[Violation]:
    accepted = history.of(PatchAccepted)
    awake = [
        event
        for event in history.of(DaemonEvent)
        if isinstance(event, Started | Resumed)
    ]
    for seen in history.of(VersionSeen):
        awake_ms = _awake_since_ms(awake, seen)
        yield from (
            _violation(f'{seen.daemon} is still at {seen.version}', (old, seen))
            for old in accepted
            if seen.version < old.version
            and seen.at_ms > max(old.at_ms, awake_ms) + limits.config_ms
        )


def _awake_since_ms(awake: Sequence[DaemonEvent], seen: VersionSeen) -> float:
    """Tell since when the daemon could take a new version.

    A daemon that was paused, or not yet there, has its time from then on.
    """
    return max(
        (
            event.at_ms
            for event in awake
            if event.daemon == seen.daemon and event.at_ms <= seen.at_ms
        ),
        default=0,
    )


def _reverted(history: History) -> Iterator[Violation]:
    newest: dict[str, VersionSeen] = {}
    for seen in history.of(VersionSeen):
        before = newest.setdefault(seen.daemon, seen)
        if seen.version < before.version:
            detail = f'{seen.daemon} went back to {seen.version}'
            yield _violation(detail, (before, seen))
        else:
            newest[seen.daemon] = seen


def _reverted_answers(history: History) -> Iterator[Violation]:
    seen = history.of(VersionSeen)
    for attempt in tries_of(history):
        newest = _newest_before(seen, attempt)
        if newest is None:
            continue
        for end in attempt.ends:
            if _is_older(end, newest):
                detail = f'an answer older than version {newest.version}'
                yield _violation(detail, (newest, attempt.asked, end))


def _newest_before(
    seen: tuple[VersionSeen, ...],
    attempt: Try,
) -> VersionSeen | None:
    asked = attempt.asked
    before = (
        one
        for one in seen
        if one.daemon == asked.daemon and one.at_ms < asked.at_ms
    )
    return max(before, key=lambda one: one.version, default=None)


def _is_older(end: Ended, newest: VersionSeen) -> bool:
    if isinstance(end, QueryAnswered | ExecuteAnswered):
        return end.config_version < newest.version
    return False


def _disagreeing(history: History) -> Iterator[Violation]:
    first: dict[int, VersionSeen] = {}
    for seen in history.of(VersionSeen):
        other = first.setdefault(seen.version, seen)
        if other.digest != seen.digest:
            detail = f'two documents are called version {seen.version}'
            yield _violation(detail, (other, seen))


def _violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(
        promise=Promise.CONFIGURATION,
        detail=detail,
        events=events,
    )
