"""Commands for fronts, members and draining."""

from typing import Final

from cyclopts import App

from fennelfork_cli._front_reports import (
    build_front_list_report,
    build_front_report,
)
from fennelfork_cli._http import ApiRequest, JsonObject, send_request
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import print_outcome, print_page
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_DEFAULT_OPTIONS: Final = OperatorOptions()
_MEMBER_COLUMNS: Final = (
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
def list_fronts(*, options: OperatorOptions = _DEFAULT_OPTIONS) -> int:
    """List the fronts with the number of shards and backend servers.

    Example: fennelfork front list
    """
    return print_page('/v1/fronts', options, build_front_list_report)


@front_app.command(name='show')
def show_front(
    name: str,
    /,
    *,
    options: OperatorOptions = _DEFAULT_OPTIONS,
) -> int:
    """Show the shards, home daemons and backend servers of a front.

    Example: fennelfork front show raft-search

    Args:
        name: name of the front.
    """
    return print_page(
        '/v1/fronts',
        options,
        lambda payload: build_front_report(payload, name),
    )


def members(*, options: OperatorOptions = _DEFAULT_OPTIONS) -> int:
    """List the members that a daemon knows.

    Example: fennelfork members --operator 127.0.0.1:8081
    """
    return print_page(
        '/v1/members',
        options,
        lambda payload: Report(
            payload=payload,
            text=text_table(_MEMBER_COLUMNS, payload['members']),
        ),
    )


def drain(*, options: OperatorOptions = _DEFAULT_OPTIONS) -> int:
    """Drain a daemon: redirect callers, serve requests until SIGTERM.

    Example: fennelfork drain --operator 127.0.0.1:8081
    """
    call = ApiRequest(
        address=options.operator,
        path='/v1/drain',
        body={},
        timeout_ms=options.timeout_ms,
    )
    return print_outcome(
        send_request(call).map(_build_drain_report), options.json
    )


def _build_drain_report(payload: JsonObject) -> Report:
    running = payload.get('running')
    text = f'{payload.get("phase")}, {running} requests running'
    return Report(payload=payload, text=text)
