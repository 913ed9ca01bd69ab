"""Turns what a caller received into an event."""

import functools
from collections.abc import Callable
from typing import Any, Final

from fennelfork import Verdict
from fennelfork.gather import KeyRange
from fennelfork_bench.history._caller import (
    Asked,
    ConnectionCut,
    ConnectRefused,
    Ended,
    ExecuteAnswered,
    ExecuteAsked,
    Malformed,
    QueryAnswered,
    QueryAsked,
    RecordSeen,
    Refused,
)
from fennelfork_bench.rig._http import HttpReply

_SHOWN_CHARS: Final = 300
# Faults of the library after which it is certain that no byte was sent.
_UNSENT: Final = frozenset(('NewConnectionError', 'ConnectTimeoutError'))

_Fields = dict[str, Any]


def ended(asked: Asked, reply: HttpReply, at_ms: float) -> Ended:
    """Tell how one try ended.

    Args:
        asked: what was asked.
        reply: what the HTTP library gave.
        at_ms: when it gave it.
    """
    common: _Fields = {'at_ms': at_ms, 'attempt': asked.attempt}
    if not reply.status:
        refused = reply.fault in _UNSENT
        kind = ConnectRefused if refused else ConnectionCut
        return kind(**common, detail=reply.fault)
    read = functools.partial(_answer, asked) if reply.fine else _refusal
    return _parsed(read, reply, common)


def _parsed(
    read: Callable[[_Fields, _Fields], Ended],
    reply: HttpReply,
    common: _Fields,
) -> Ended:
    try:
        return read(reply.body, common)
    except (KeyError, TypeError, ValueError) as error:
        shown = f'{reply.status} {error!r} {reply.body}'
        return Malformed(**common, detail=shown[:_SHOWN_CHARS])


@functools.singledispatch
def _answer(asked: Asked, body: _Fields, common: _Fields) -> Ended:
    raise TypeError(f'no answer is known to {type(asked)}')


@_answer.register
def _query_answer(asked: QueryAsked, body: _Fields, common: _Fields) -> Ended:
    coverage = body['coverage']
    return QueryAnswered(
        **common,
        reply_to=body['request_id'],
        snapshot=body['snapshot'],
        records=tuple(
            RecordSeen(key=record['key'], stamp=record['text'])
            for record in body['records']
        ),
        complete=coverage['complete'],
        fraction=coverage['fraction'],
        missing=tuple(
            KeyRange(lo=part['lo'], hi=part['hi'])
            for part in coverage['missing']
        ),
        config_version=body['config_version'],
    )


@_answer.register
def _execute_answer(
    asked: ExecuteAsked,
    body: _Fields,
    common: _Fields,
) -> Ended:
    return ExecuteAnswered(
        **common,
        reply_to=body['request_id'],
        key=body['key'],
        outcome=body['outcome'],
        config_version=body['config_version'],
    )


def _refusal(body: _Fields, common: _Fields) -> Ended:
    return Refused(
        **common,
        reply_to=body['request_id'],
        code=body['code'],
        verdict=Verdict(body['verdict']),
    )
