"""Commands on fronts, members and single daemons."""

from typing import Final

from cyclopts import App

from fennelfork_cli._front_reports import front_list_report, front_report
from fennelfork_cli._http import Call, Tree, send
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import show_page, show_result
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_HERE: Final = OperatorOptions()
_MEMBERS: Final = (
    'name',
    'state',
    'region',
    'data_centre',
    'caller',
    'operator',
    'peer',
    'incarnation',
    'config_version',
)

front_app = App(name='front', help='Show search fronts.')


@front_app.command(name='list')
def list_fronts(*, options: OperatorOptions = _HERE) -> int:
    """List the fronts with their shards and servers.

    Example: fennelfork front list
    """
    return show_page('/v1/fronts', options, front_list_report)


@front_app.command(name='show')
def show_front(
    name: str,
    /,
    *,
    options: OperatorOptions = _HERE,
) -> int:
    """Show the shards of a front, their homes and backend servers.

    Example: fennelfork front show raft-search

    Args:
        name: of the front.
    """
    return show_page(
        '/v1/fronts',
        options,
        lambda tree: front_report(tree, name),
    )


def members(*, options: OperatorOptions = _HERE) -> int:
    """List the daemons that the one asked knows of.

    Example: fennelfork members --operator 127.0.0.1:8081
    """
    return show_page(
        '/v1/members',
        options,
        lambda tree: Report(
            tree=tree,
            text=text_table(_MEMBERS, tree['members']),
        ),
    )


def drain(*, options: OperatorOptions = _HERE) -> int:
    """Send callers elsewhere; the daemon serves on until SIGTERM.

    Example: fennelfork drain --operator 127.0.0.1:8081
    """
    call = Call(
        address=options.operator,
        path='/v1/drain',
        body={},
        timeout_ms=options.timeout_ms,
    )
    return show_result(send(call).map(_drain_report), options.json)


def _drain_report(tree: Tree) -> Report:
    running = tree.get('running')
    text = f'{tree.get("phase")}, {running} requests running'
    return Report(tree=tree, text=text)
