"""What is known of whether a request ran, and the error that carries it."""

import enum
from typing import Self

import attrs


@enum.unique
class Verdict(enum.Enum):
    """Whether a backend server may have run a request."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may_have_run'

    def join(self, other: 'Verdict') -> 'Verdict':
        """Give the verdict on two parts of one request.

        Args:
            other: the verdict on the other part.

        Returns:
            `NOT_RUN` only if neither part ran, `RAN` if one surely did,
            `MAY_HAVE_RUN` otherwise.
        """
        if self is other:
            return self
        if Verdict.RAN in {self, other}:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


@enum.unique
class FailureCode(enum.Enum):
    """Why a request or a part of it failed."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_FRONT = 'unknown_front'
    SHED = 'shed'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    SNAPSHOT_GONE = 'snapshot_gone'
    NOT_HELD = 'not_held'
    NO_SERVER = 'no_server'
    UNREACHABLE = 'unreachable'
    BAD_REPLY = 'bad_reply'
    CANCELLED = 'cancelled'
    PARTIAL = 'partial'
    TICKET = 'ticket'
    DUPLICATE = 'duplicate'
    CONFLICT = 'conflict'
    QUARANTINED = 'quarantined'
    PLATFORM = 'platform'
    INTERNAL = 'internal'


@attrs.frozen(kw_only=True)
class Failure:
    """A failed request, with what is known of whether it ran.

    Attributes:
        code: why it failed.
        verdict: whether a backend server may have run it.
        detail: one sentence for a person.
        retry_after_ms: when asking again may help; none if it never will.
        broken_off: whether the connection ended, or was reset, while the
            answer was awaited.
    """

    code: FailureCode
    verdict: Verdict
    detail: str
    retry_after_ms: int | None = None
    broken_off: bool = False

    def with_verdict(self, verdict: Verdict) -> Self:
        """Give the same failure under another verdict."""
        return attrs.evolve(self, verdict=verdict)


def not_run(
    code: FailureCode,
    detail: str,
    retry_after_ms: int | None = None,
) -> Failure:
    """Build a failure of which it is certain that nothing ran."""
    return Failure(
        code=code,
        verdict=Verdict.NOT_RUN,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def may_have_run(code: FailureCode, detail: str) -> Failure:
    """Build a failure of which it is unknown whether something ran."""
    return Failure(
        code=code,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=detail,
    )
