"""Reports on fronts."""

from typing import Final

from fennelfork import FailureCode, Verdict
from fennelfork_cli._http import JsonObject, RequestFailure
from fennelfork_cli._report import Report, build_failure_report
from fennelfork_cli._text_table import text_table

_NAME: Final = 'name'
_FRONT_COLUMNS: Final = ('name', 'keys', 'hedge', 'shards', 'servers')
_SERVER_COLUMNS: Final = (
    'shard',
    'home',
    'name',
    'address',
    'data_centre',
    'state',
    'slots',
    'busy',
    'snapshots',
)


def build_front_list_report(payload: JsonObject) -> Report:
    """Report all fronts, one row for each front."""
    rows = [
        {
            'name': front[_NAME],
            'keys': front.get('keys'),
            'hedge': front.get('hedge'),
            'shards': len(front['shards']),
            'servers': sum(len(shard['servers']) for shard in front['shards']),
        }
        for front in payload['fronts']
    ]
    return Report(
        payload=payload,
        text=f'{text_table(_FRONT_COLUMNS, rows)}\n'
        f'configuration version {payload.get("config_version")}',
    )


def build_front_report(payload: JsonObject, name: str) -> Report:
    """Report one front, one row for each backend server."""
    fronts = {front[_NAME]: front for front in payload['fronts']}
    front = fronts.get(name)
    if front is not None:
        return Report(payload=front, text=_format_front(front))
    known = ', '.join(fronts)
    return build_failure_report(
        RequestFailure(
            verdict=Verdict.NOT_RUN,
            detail=f'unknown front {name!r}; known fronts: {known or "none"}',
            problem={'code': FailureCode.UNKNOWN_FRONT.value},
        ),
    )


def _format_front(front: JsonObject) -> str:
    rows = [
        {'shard': shard[_NAME], 'home': shard.get('home')} | server
        for shard in front['shards']
        for server in shard['servers']
    ]
    table = text_table(_SERVER_COLUMNS, rows)
    return (
        f'{front[_NAME]}, keys 0 to {front.get("keys")}, '
        f'hedge {front.get("hedge")}\n{table}'
    )
