"""Sending of a configuration patch until its outcome is known."""

import time
from typing import Any, Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork import FailureCode, Verdict
from fennelfork_cli._http import Call, CallFailure, Tree, send

_ATTEMPTS: Final = 4
_PAUSE_S: Final = 0.5
_SETTLED: Final = frozenset(
    (FailureCode.CONFLICT.value, FailureCode.BAD_REQUEST.value),
)


@attrs.frozen(kw_only=True)
class PatchRequest:
    """One patch against a numbered version.

    Attributes:
        base: the version that the author looked at.
        patch_id: the same for each try of one patch, so that it is applied
            once though a reply is lost.
        author: who asks for it.
        patch: a merge patch (RFC 7396).
    """

    base: int
    patch_id: str
    author: str
    patch: dict[str, Any]


def send_patch(
    request: PatchRequest,
    address: str,
    timeout_ms: int,
) -> Result[Tree, CallFailure]:
    """Send a patch, and ask again under its id while the outcome is unknown.

    Returns:
        The daemon's answer, or the failure with the verdict on all tries
        together: not run only if that is certain of each.
    """
    call = Call(
        address=address,
        path='/v1/config/patch',
        body=attrs.asdict(request),
        timeout_ms=timeout_ms,
    )
    verdict = Verdict.NOT_RUN
    for attempt in range(_ATTEMPTS):
        time.sleep(_PAUSE_S if attempt else 0)
        outcome = send(call)
        if isinstance(outcome, Success):
            return outcome
        failure = outcome.failure()
        if failure.code in _SETTLED:
            return outcome
        verdict = failure.verdict.join(verdict)
        if verdict is Verdict.NOT_RUN:
            return outcome
    return Failure(attrs.evolve(failure, verdict=verdict))
