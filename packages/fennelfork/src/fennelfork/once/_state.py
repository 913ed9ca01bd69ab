"""States of a non-idempotent request in the incarnation that took it."""

import attrs

from fennelfork._verdict import (
    Failure,
    FailureCode,
    Verdict,
    may_have_run,
    not_run,
)


@attrs.frozen(kw_only=True)
class Accepted:
    """Taken, and no byte of it sent."""


@attrs.frozen(kw_only=True)
class Sent:
    """On its way to a backend server, or being run there."""


@attrs.frozen(kw_only=True)
class Done:
    """Ran, with the outcome that the backend server gave."""

    outcome: str


@attrs.frozen(kw_only=True)
class Ended:
    """Failed for good."""

    failure: Failure


OnceState = Accepted | Sent | Done | Ended


def is_open(state: OnceState) -> bool:
    """Tell whether the request has not ended."""
    return isinstance(state, Accepted | Sent)


def conflict(state: OnceState) -> Failure:
    """Build the failure of an id that was used for another request."""
    failure = may_have_run(
        FailureCode.CONFLICT,
        'the request id was used before, for something else',
    )
    if isinstance(state, Done):
        return failure.with_verdict(Verdict.RAN)
    if isinstance(state, Ended):
        return failure.with_verdict(state.failure.verdict)
    return failure


def ticket_expired() -> Failure:
    """Build the failure of a request that came after its ticket ended."""
    return not_run(FailureCode.TICKET, 'the ticket expired; take a new one')


def ticket_closed() -> Failure:
    """Build the failure of a new request under a closed ticket."""
    return not_run(
        FailureCode.QUEUE_FULL,
        'the ticket takes no new requests; take a new one',
    )


def outcome_too_long() -> Failure:
    """Build what a repeat is told when the outcome could not be kept."""
    failure = may_have_run(FailureCode.BAD_REPLY, 'it ran; outcome too long')
    return failure.with_verdict(Verdict.RAN)
