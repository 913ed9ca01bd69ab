"""`fennelfork config`: the numbered configuration."""

import getpass
import json
import pathlib
import uuid
from typing import Annotated

import attrs
from cyclopts import App, Parameter, validators

from fennelfork.config import merge_patch, tree_changes
from fennelfork_cli._config_reports import (
    changes_text,
    history_report,
    status_report,
)
from fennelfork_cli._http import Tree
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import show_page, show_result
from fennelfork_cli._patch import PatchRequest
from fennelfork_cli._patch_outcome import submit
from fennelfork_cli._removals import with_removals
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
_HERE = OperatorOptions()

config_app = App(
    name='config',
    help='Show and change the numbered configuration.',
)


@config_app.command(name='show')
def show_config(*, options: OperatorOptions = _HERE) -> int:
    """Show the document in force on the daemon that is asked.

    Example: fennelfork config show --operator 127.0.0.1:8081
    """
    return show_page(
        '/v1/config',
        options,
        lambda tree: Report(tree=tree, text=json.dumps(tree, indent=2)),
    )


@config_app.command
def history(*, options: OperatorOptions = _HERE) -> int:
    """Show who changed what, newest first.

    Example: fennelfork config history
    """
    return show_page('/v1/config/history', options, history_report)


@config_app.command
def status(*, options: OperatorOptions = _HERE) -> int:
    """Show which daemon runs which version; exit 5 if one is behind.

    Example: fennelfork config status --json
    """
    return show_page('/v1/config/status', options, status_report)


@config_app.command
def diff(
    patch_file: _PatchFile,
    /,
    *,
    remove: _Removals = (),
    options: OperatorOptions = _HERE,
) -> int:
    """Show what a patch would change now, and change nothing.

    Example: fennelfork config diff hedge.toml

    Args:
        patch_file: the patch, a TOML file.
        remove: a path to remove, such as fronts.old; may be repeated.
    """
    patch = with_removals(read_toml(patch_file), remove)
    return show_page(
        '/v1/config',
        options,
        lambda tree: _diff_report(tree, patch),
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
    options: OperatorOptions = _HERE,
) -> int:
    """Change the configuration against the version that you looked at.

    A lost reply is asked for again under the same patch id, which is applied
    once. Who loses a race sees the version in force and the difference.

    Example: fennelfork config patch --base 7 hedge.toml

    Args:
        patch_file: the patch, a TOML file; tables merge, values replace.
        base: the version that the patch was written against.
        patch_id: to ask again for a patch whose outcome stayed unknown.
        author: stands in the history; your login name if not given.
        remove: a path to remove, such as fronts.old; may be repeated.
    """
    request = PatchRequest(
        base=base,
        patch_id=patch_id or uuid.uuid4().hex,
        author=author or getpass.getuser(),
        patch=with_removals(read_toml(patch_file), remove),
    )
    return show_result(submit(request, options), options.json)


def _diff_report(tree: Tree, patch: Tree) -> Report:
    changes = [
        attrs.asdict(change)
        for change in tree_changes(tree, merge_patch(tree, patch))
    ]
    version = tree['version']
    return Report(
        tree={'version': version, 'changes': changes},
        text=f'against version {version}:\n{changes_text(changes)}',
    )
