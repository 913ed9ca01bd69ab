"""Failure of a request and the verdict on whether the request ran."""

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
        """Combine the verdicts on two parts of one request.

        Args:
            other: verdict on the other part.

        Returns:
            `NOT_RUN` if neither part ran, `RAN` if either part ran, otherwise
            `MAY_HAVE_RUN`.
        """
        if self is other:
            return self
        if Verdict.RAN in {self, other}:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


@enum.unique
class FailureCode(enum.Enum):
    """Reason for the failure of a request or of a part of a request."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_FRONT = 'unknown_front'
    UNKNOWN_KEY = 'unknown_key'
    QUOTA = 'quota'
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
    """Failure of a request.

    Attributes:
        code: reason for the failure.
        verdict: whether a backend server may have run the request.
        detail: human-readable explanation in one sentence.
        retry_after_ms: time after which a retry may succeed, none if a retry
            is useless.
        connection_lost: whether the connection was closed or reset while the
            response was pending.
        was_received: whether a backend server certainly received the request,
            also if the verdict is `NOT_RUN`.
        server_ended: whether the process of the backend server has certainly
            ended.
    """

    code: FailureCode
    verdict: Verdict
    detail: str
    retry_after_ms: int | None = None
    connection_lost: bool = False
    was_received: bool = False
    server_ended: bool = False

    def with_verdict(self, verdict: Verdict) -> Self:
        """Return a copy of this failure with another verdict."""
        return attrs.evolve(self, verdict=verdict)


def not_run(
    code: FailureCode,
    detail: str,
    retry_after_ms: int | None = None,
) -> Failure:
    """Build a failure of a request that no backend server ran."""
    return Failure(
        code=code,
        verdict=Verdict.NOT_RUN,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def may_have_run(code: FailureCode, detail: str) -> Failure:
    """Build a failure of a request that a backend server may have run."""
    return Failure(
        code=code,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=detail,
    )
