"""What became of a configuration patch, told to its author."""

from returns.result import Failure, Result, Success

from fennelfork import FailureCode, Verdict
from fennelfork_cli._call import CallFailure
from fennelfork_cli._config_texts import (
    changes_since,
    conflict_text,
    difference_trees,
)
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._leaves import patch_differences
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import fetch
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
        return Success(_lost_race(request, failure, options))
    if failure.verdict is not Verdict.NOT_RUN:
        return Success(_unknown(request, failure))
    return Failure(failure)


def _lost_race(
    request: PatchRequest,
    failure: CallFailure,
    options: OperatorOptions,
) -> Report:
    document = fetch('/v1/config', options).value_or({})
    differences = patch_differences(document, request.patch)
    history = fetch('/v1/config/history', options).value_or({'patches': ()})
    since = changes_since(history, request.base)
    version = failure.problem.get('version', document.get('version'))
    return Report(
        tree=failure.problem
        | {
            'version': version,
            'since': since,
            'differences': difference_trees(differences),
        },
        text=conflict_text(version, differences, since),
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
