"""What became of a configuration patch, told to its author."""

from returns.result import Failure, Result, Success

from fennelfork import FailureCode, Verdict
from fennelfork_cli._config_reports import conflict_text
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import CallFailure
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._patch import PatchRequest, send_patch
from fennelfork_cli._report import Report


def submit(
    request: PatchRequest,
    options: OperatorOptions,
) -> Result[Report, CallFailure]:
    """Send a patch and say what became of it.

    Returns:
        A report of the version it made, of the race it lost or of how to
        settle an unknown outcome; else the failure.
    """
    outcome = send_patch(request, options.operator, options.timeout_ms)
    if isinstance(outcome, Success):
        tree = outcome.unwrap()
        version = tree['version']
        text = f'version {version} accepted, patch {request.patch_id}'
        return Success(Report(tree=tree, text=text))
    failure = outcome.failure()
    if failure.code == FailureCode.CONFLICT.value:
        return Success(_lost_race(failure))
    if failure.verdict is not Verdict.NOT_RUN:
        return Success(_unknown(request, failure))
    return Failure(failure)


def _lost_race(failure: CallFailure) -> Report:
    return Report(
        tree=failure.problem,
        text=conflict_text(failure.problem),
        code=ExitCode.REFUSED,
    )


def _unknown(request: PatchRequest, failure: CallFailure) -> Report:
    lines = (
        f'unknown whether the patch was accepted: {failure.detail}',
        'ask again under the same id; it is applied at most once:',
        f'  --base {request.base} --patch-id {request.patch_id}',
    )
    return Report(
        tree=failure.problem
        | {
            'code': failure.code,
            'verdict': failure.verdict.value,
            'patch_id': request.patch_id,
        },
        text='\n'.join(lines),
        code=ExitCode.UNKNOWN,
    )
