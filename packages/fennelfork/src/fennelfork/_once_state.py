"""States of a non-idempotent request in the incarnation that took it."""

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict, may_have_run


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
