"""Submission of a configuration patch, with retries."""

import time
from typing import Any, Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork import FailureCode, Verdict
from fennelfork_cli._http import (
    ApiRequest,
    JsonObject,
    RequestFailure,
    send_request,
)

_MAX_ATTEMPTS: Final = 4
_RETRY_DELAY_S: Final = 0.5
_FINAL_CODES: Final = frozenset(
    (FailureCode.CONFLICT.value, FailureCode.BAD_REQUEST.value),
)


@attrs.frozen(kw_only=True)
class PatchRequest:
    """Patch against one version of the configuration.

    Attributes:
        base: configuration version that the patch is based on.
        patch_id: id that all attempts of the patch share; the daemons apply
            a patch id at most once.
        author: name of the author.
        patch: merge patch (RFC 7396).
    """

    base: int
    patch_id: str
    author: str
    patch: dict[str, Any]


def send_patch(
    request: PatchRequest,
    address: str,
    timeout_ms: int,
) -> Result[JsonObject, RequestFailure]:
    """Send a patch; retry with the same patch id while the outcome is unknown.

    Returns:
        Answer of the daemon, or the last failure with the joined verdict of
        all attempts: not run only if no attempt ran.
    """
    api_request = ApiRequest(
        address=address,
        path='/v1/config/patch',
        body=attrs.asdict(request),
        timeout_ms=timeout_ms,
    )
    verdict = Verdict.NOT_RUN
    for attempt in range(_MAX_ATTEMPTS):
        time.sleep(_RETRY_DELAY_S if attempt else 0)
        outcome = send_request(api_request)
        if isinstance(outcome, Success):
            return outcome
        failure = outcome.failure()
        if failure.code in _FINAL_CODES:
            return outcome
        verdict = failure.verdict.join(verdict)
        if verdict is Verdict.NOT_RUN:
            return outcome
    return Failure(attrs.evolve(failure, verdict=verdict))
