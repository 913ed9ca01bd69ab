"""The command `fennelfork config`, which shows and changes configuration."""

import getpass
import json
import pathlib
import uuid
from typing import Annotated

import attrs
from cyclopts import App, Parameter, validators

from fennelfork.config import merge_patch, tree_changes
from fennelfork_cli._config_reports import (
    build_history_report,
    build_status_report,
    format_changes,
)
from fennelfork_cli._http import JsonObject
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import print_outcome, print_page
from fennelfork_cli._patch import PatchRequest
from fennelfork_cli._patch_outcome import submit_patch
from fennelfork_cli._removals import add_removals
from fennelfork_cli._report import Report
from fennelfork_cli._toml_file import read_toml

_PatchFile = Annotated[
    pathlib.Path,
    Parameter(validator=validators.Path(exists=True, dir_okay=False)),
]
_Removals = Annotated[
    tuple[str, ...],
    Parameter(name='--remove', negative=''),
]
_DEFAULT_OPTIONS = OperatorOptions()

config_app = App(
    name='config',
    help='Show and change the configuration.',
)


@config_app.command(name='show')
def show_config(*, options: OperatorOptions = _DEFAULT_OPTIONS) -> int:
    """Show the active configuration of a daemon.

    Example: fennelfork config show --operator 127.0.0.1:8081
    """
    return print_page(
        '/v1/config',
        options,
        lambda payload: Report(
            payload=payload, text=json.dumps(payload, indent=2)
        ),
    )


@config_app.command
def history(*, options: OperatorOptions = _DEFAULT_OPTIONS) -> int:
    """Show the patches of the configuration, newest first.

    Example: fennelfork config history
    """
    return print_page('/v1/config/history', options, build_history_report)


@config_app.command
def status(*, options: OperatorOptions = _DEFAULT_OPTIONS) -> int:
    """Show the active version of each daemon; exit 5 if a daemon is outdated.

    Example: fennelfork config status --json
    """
    return print_page('/v1/config/status', options, build_status_report)


@config_app.command
def diff(
    patch_file: _PatchFile,
    /,
    *,
    remove: _Removals = (),
    options: OperatorOptions = _DEFAULT_OPTIONS,
) -> int:
    """Show the changes of a patch without applying the patch.

    Example: fennelfork config diff hedge.toml

    Args:
        patch_file: TOML file with the patch.
        remove: path to remove, such as fronts.old; may be repeated.
    """
    patch = add_removals(read_toml(patch_file), remove)
    return print_page(
        '/v1/config',
        options,
        lambda payload: _build_diff_report(payload, patch),
    )


@config_app.command(name='patch')
def patch_config(
    patch_file: _PatchFile,
    /,
    *,
    base: int,
    patch_id: str | None = None,
    author: str | None = None,
    remove: _Removals = (),
    options: OperatorOptions = _DEFAULT_OPTIONS,
) -> int:
    """Apply a patch to the configuration.

    If a reply is lost, the patch is retried with the same patch id, which is
    applied at most once. If another patch was accepted since the base version,
    the active version and the remaining changes are shown.

    Example: fennelfork config patch --base 7 hedge.toml

    Args:
        patch_file: TOML file with the patch; tables merge, values replace.
        base: configuration version that the patch is based on.
        patch_id: id of an earlier patch whose outcome is unknown.
        author: author in the history; your login name if not given.
        remove: path to remove, such as fronts.old; may be repeated.
    """
    request = PatchRequest(
        base=base,
        patch_id=patch_id or uuid.uuid4().hex,
        author=author or getpass.getuser(),
        patch=add_removals(read_toml(patch_file), remove),
    )
    return print_outcome(submit_patch(request, options), options.json)


def _build_diff_report(payload: JsonObject, patch: JsonObject) -> Report:
    changes = [
        attrs.asdict(change)
        for change in tree_changes(payload, merge_patch(payload, patch))
    ]
    version = payload['version']
    return Report(
        payload={'version': version, 'changes': changes},
        text=f'changes against version {version}:\n{format_changes(changes)}',
    )
