"""Checks that accepted configurations reach every daemon and stay active."""

from collections.abc import Iterator, Sequence

from fennelfork_bench.checks._base import (
    CallerAttempt,
    Guarantee,
    TimeLimits,
    Violation,
    caller_attempts,
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


def check_active_configuration(
    history: History, limits: TimeLimits
) -> tuple[Violation, ...]:
    """Find daemons that lag behind, revert or disagree about a version."""
    return (
        *_find_late(history, limits),
        *_find_reverted(history),
        *_find_outdated_answers(history),
        *_find_conflicting_documents(history),
    )


def _find_late(history: History, limits: TimeLimits) -> Iterator[Violation]:
    accepted = history.of_type(PatchAccepted)
    starts = [
        event
        for event in history.of_type(DaemonEvent)
        if isinstance(event, Started | Resumed)
    ]
    for seen in history.of_type(VersionSeen):
        running_since_ms = _running_since_ms(starts, seen)
        yield from (
            _build_violation(
                f'{seen.daemon} is still at version {seen.version}',
                (accepted_patch, seen),
            )
            for accepted_patch in accepted
            if seen.version < accepted_patch.version
            and seen.at_ms
            > max(accepted_patch.at_ms, running_since_ms) + limits.config_ms
        )


def _running_since_ms(
    starts: Sequence[DaemonEvent], seen: VersionSeen
) -> float:
    """Return the time from which the daemon could fetch new versions.

    The time limit of a daemon starts at its latest start or resumption.
    """
    return max(
        (
            event.at_ms
            for event in starts
            if event.daemon == seen.daemon and event.at_ms <= seen.at_ms
        ),
        default=0,
    )


def _find_reverted(history: History) -> Iterator[Violation]:
    newest: dict[str, VersionSeen] = {}
    for seen in history.of_type(VersionSeen):
        before = newest.setdefault(seen.daemon, seen)
        if seen.version < before.version:
            detail = f'{seen.daemon} reverted to version {seen.version}'
            yield _build_violation(detail, (before, seen))
        else:
            newest[seen.daemon] = seen


def _find_outdated_answers(history: History) -> Iterator[Violation]:
    seen = history.of_type(VersionSeen)
    for attempt in caller_attempts(history):
        newest = _newest_before(seen, attempt)
        if newest is None:
            continue
        for end in attempt.ends:
            if _is_older(end, newest):
                detail = f'an answer older than version {newest.version}'
                yield _build_violation(detail, (newest, attempt.asked, end))


def _newest_before(
    seen: tuple[VersionSeen, ...],
    attempt: CallerAttempt,
) -> VersionSeen | None:
    asked = attempt.asked
    before = (
        version_seen
        for version_seen in seen
        if version_seen.daemon == asked.daemon
        and version_seen.at_ms < asked.at_ms
    )
    return max(
        before, key=lambda version_seen: version_seen.version, default=None
    )


def _is_older(end: Ended, newest: VersionSeen) -> bool:
    if isinstance(end, QueryAnswered | ExecuteAnswered):
        return end.config_version < newest.version
    return False


def _find_conflicting_documents(history: History) -> Iterator[Violation]:
    first: dict[int, VersionSeen] = {}
    for seen in history.of_type(VersionSeen):
        other = first.setdefault(seen.version, seen)
        if other.digest != seen.digest:
            detail = f'two documents have the version {seen.version}'
            yield _build_violation(detail, (other, seen))


def _build_violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(
        guarantee=Guarantee.CONFIGURATION,
        detail=detail,
        events=events,
    )
