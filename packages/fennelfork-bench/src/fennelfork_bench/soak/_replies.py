"""Conversion of HTTP replies to events of the history."""

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
from fennelfork_bench.rig._http import HttpResponse

_MAX_EXCERPT_CHARS: Final = 300
# Errors of the HTTP library that occur before any byte is sent.
_UNSENT_ERRORS: Final = frozenset(('NewConnectionError', 'ConnectTimeoutError'))

_Fields = dict[str, Any]


def classify_reply(asked: Asked, reply: HttpResponse, at_ms: float) -> Ended:
    """Return the event that ends an attempt.

    Args:
        asked: event of the request.
        reply: reply or error of the HTTP library.
        at_ms: time of the reply, in milliseconds.
    """
    common_fields: _Fields = {'at_ms': at_ms, 'attempt': asked.attempt}
    if not reply.status:
        refused = reply.fault in _UNSENT_ERRORS
        kind = ConnectRefused if refused else ConnectionCut
        return kind(**common_fields, detail=reply.fault)
    parse = (
        functools.partial(_parse_answer, asked)
        if reply.is_success
        else _parse_refusal
    )
    return _parse_or_malformed(parse, reply, common_fields)


def _parse_or_malformed(
    parse: Callable[[_Fields, _Fields], Ended],
    reply: HttpResponse,
    common_fields: _Fields,
) -> Ended:
    try:
        return parse(reply.body, common_fields)
    except (KeyError, TypeError, ValueError) as error:
        excerpt = f'{reply.status} {error!r} {reply.body}'
        return Malformed(**common_fields, detail=excerpt[:_MAX_EXCERPT_CHARS])


@functools.singledispatch
def _parse_answer(asked: Asked, body: _Fields, common_fields: _Fields) -> Ended:
    raise TypeError(f'no answer format is registered for {type(asked)}')


@_parse_answer.register
def _parse_query_answer(
    asked: QueryAsked, body: _Fields, common_fields: _Fields
) -> Ended:
    coverage = body['coverage']
    return QueryAnswered(
        **common_fields,
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


@_parse_answer.register
def _parse_execute_answer(
    asked: ExecuteAsked,
    body: _Fields,
    common_fields: _Fields,
) -> Ended:
    return ExecuteAnswered(
        **common_fields,
        reply_to=body['request_id'],
        key=body['key'],
        outcome=body['outcome'],
        config_version=body['config_version'],
    )


def _parse_refusal(body: _Fields, common_fields: _Fields) -> Ended:
    return Refused(
        **common_fields,
        reply_to=body['request_id'],
        code=body['code'],
        verdict=Verdict(body['verdict']),
    )
