"""Layout of fronts for people."""

from typing import Final

from fennelfork import FailureCode, Verdict
from fennelfork_cli._http import CallFailure, Tree
from fennelfork_cli._report import Report, failure_report
from fennelfork_cli._text_table import text_table

_NAME: Final = 'name'
_LIST: Final = ('name', 'keys', 'hedge', 'shards', 'servers')
_SERVERS: Final = (
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


def front_list_report(tree: Tree) -> Report:
    """Lay out one line a front."""
    rows = [
        {
            'name': front[_NAME],
            'keys': front.get('keys'),
            'hedge': front.get('hedge'),
            'shards': len(front['shards']),
            'servers': sum(len(shard['servers']) for shard in front['shards']),
        }
        for front in tree['fronts']
    ]
    return Report(
        tree=tree,
        text=f'{text_table(_LIST, rows)}\n'
        f'configuration version {tree.get("config_version")}',
    )


def front_report(tree: Tree, name: str) -> Report:
    """Lay out one line a backend server of a front."""
    fronts = {front[_NAME]: front for front in tree['fronts']}
    front = fronts.get(name)
    if front is not None:
        return Report(tree=front, text=_front_text(front))
    known = ', '.join(fronts)
    return failure_report(
        CallFailure(
            verdict=Verdict.NOT_RUN,
            detail=f'no front {name}; there are: {known or "none"}',
            problem={'code': FailureCode.UNKNOWN_FRONT.value},
        ),
    )


def _front_text(front: Tree) -> str:
    rows = [
        {'shard': shard[_NAME], 'home': shard.get('home')} | server
        for shard in front['shards']
        for server in shard['servers']
    ]
    table = text_table(_SERVERS, rows)
    return (
        f'{front[_NAME]}, keys 0 to {front.get("keys")}, '
        f'hedge {front.get("hedge")}\n{table}'
    )
