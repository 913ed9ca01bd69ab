"""States of a non-idempotent request in the incarnation that accepted it."""

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
    """The request is accepted and no byte has been sent."""


@attrs.frozen(kw_only=True)
class Sent:
    """The request is in flight to a backend server or running there."""


@attrs.frozen(kw_only=True)
class Done:
    """The request ran.

    Attributes:
        outcome: outcome from the backend server.
    """

    outcome: str


@attrs.frozen(kw_only=True)
class Ended:
    """The request ended with a failure.

    Attributes:
        failure: failure to answer, including to duplicates.
    """

    failure: Failure


OnceState = Accepted | Sent | Done | Ended


def is_open(state: OnceState) -> bool:
    """Return whether the request has not ended."""
    return isinstance(state, Accepted | Sent)


def build_conflict(state: OnceState) -> Failure:
    """Build the failure of an id that was used with other content."""
    failure = may_have_run(
        FailureCode.CONFLICT,
        'the request id was used before with other content',
    )
    if isinstance(state, Done):
        return failure.with_verdict(Verdict.RAN)
    if isinstance(state, Ended):
        return failure.with_verdict(state.failure.verdict)
    return failure


def ticket_expired() -> Failure:
    """Build the failure of a request under an expired ticket."""
    return not_run(
        FailureCode.TICKET, 'the ticket has expired; request a new ticket'
    )


def ticket_closed() -> Failure:
    """Build the failure of a new request under a closed ticket."""
    return not_run(
        FailureCode.QUEUE_FULL,
        'the ticket accepts no new requests; request a new ticket',
    )


def outcome_too_long() -> Failure:
    """Build the failure of a request with an outcome too long to keep."""
    failure = may_have_run(
        FailureCode.BAD_REPLY,
        'the request ran; its outcome is too long to keep',
    )
    return failure.with_verdict(Verdict.RAN)
