"""Reports on the outcome of a configuration patch."""

from returns.result import Failure, Result, Success

from fennelfork import FailureCode, Verdict
from fennelfork_cli._config_reports import format_conflict
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import RequestFailure
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._patch import PatchRequest, send_patch
from fennelfork_cli._report import Report


def submit_patch(
    request: PatchRequest,
    options: OperatorOptions,
) -> Result[Report, RequestFailure]:
    """Send a patch and report the outcome.

    Returns:
        Report on the new version, the version conflict or the unknown
        outcome; any other failure is returned as a failure.
    """
    outcome = send_patch(request, options.operator, options.timeout_ms)
    if isinstance(outcome, Success):
        payload = outcome.unwrap()
        version = payload['version']
        text = f'version {version} accepted, patch {request.patch_id}'
        return Success(Report(payload=payload, text=text))
    failure = outcome.failure()
    if failure.code == FailureCode.CONFLICT.value:
        return Success(_build_conflict_report(failure))
    if failure.verdict is not Verdict.NOT_RUN:
        return Success(_build_unknown_outcome_report(request, failure))
    return Failure(failure)


def _build_conflict_report(failure: RequestFailure) -> Report:
    return Report(
        payload=failure.problem,
        text=format_conflict(failure.problem),
        code=ExitCode.REFUSED,
    )


def _build_unknown_outcome_report(
    request: PatchRequest, failure: RequestFailure
) -> Report:
    lines = (
        f'unknown whether the patch was accepted: {failure.detail}',
        'retry with the same patch id, which is applied at most once:',
        f'  --base {request.base} --patch-id {request.patch_id}',
    )
    return Report(
        payload=failure.problem
        | {
            'code': failure.code,
            'verdict': failure.verdict.value,
            'patch_id': request.patch_id,
        },
        text='\n'.join(lines),
        code=ExitCode.UNKNOWN,
    )
