"""Requests to the key-value stand-in, read from the gateway's JSON.

Bytes cross as base64, 64-bit integers as strings, and members that are zero
are left out, as protobuf's JSON does. Members may be named in either of
protobuf's two ways, `range_end` or `rangeEnd`.
"""

import base64
import binascii
from collections.abc import Mapping
from typing import Any, Final

from fennelfork_bench.kv_service._messages import (
    Compare,
    CompareResult,
    CompareTarget,
    Delete,
    KeySpan,
    Operation,
    Put,
    Range,
    Transaction,
)

Body = Mapping[str, Any]

_KEY: Final = 'key'
_OPERANDS: Final = {
    CompareTarget.VERSION: 'version',
    CompareTarget.CREATE: 'create_revision',
    CompareTarget.MOD: 'mod_revision',
    CompareTarget.LEASE: 'lease',
}


class BadRequestError(Exception):
    """The body is not a request of this call; the text says why."""


def member(body: Body, name: str) -> Any:
    """Read a member by its protobuf name or its JSON name; none if absent."""
    head, *tail = name.split('_')
    camel = ''.join((head, *map(str.capitalize, tail)))
    return body.get(name, body.get(camel))


def number(body: Body, name: str) -> int:
    """Read an integer that may cross as a string; 0 if absent.

    Raises:
        BadRequestError: if it is not an integer.
    """
    raw = member(body, name)
    try:
        return int(raw or 0)
    except (TypeError, ValueError):
        raise BadRequestError(f'{name}: not an integer') from None


def data(body: Body, name: str) -> bytes:
    """Read base64 bytes; empty if absent.

    Raises:
        BadRequestError: if it is not base64.
    """
    raw = member(body, name)
    try:
        return base64.b64decode(raw or '', validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise BadRequestError(f'{name}: not base64') from None


def read_span(body: Body) -> KeySpan:
    """Read the key, or the range of keys, of a request.

    Raises:
        BadRequestError: if the key is missing.
    """
    key = data(body, _KEY)
    if not key:
        raise BadRequestError('etcdserver: key is not provided')
    return KeySpan(key=key, range_end=data(body, 'range_end'))


def read_range(body: Body) -> Range:
    """Read a range request."""
    return Range(
        span=read_span(body),
        limit=number(body, 'limit'),
        keys_only=bool(member(body, 'keys_only')),
    )


def read_put(body: Body) -> Put:
    """Read a put request."""
    return Put(
        key=read_span(body).key,
        value=data(body, 'value'),
        lease=number(body, 'lease'),
    )


def read_delete(body: Body) -> Delete:
    """Read a request to delete a range."""
    return Delete(span=read_span(body))


def read_transaction(body: Body) -> Transaction:
    """Read a transaction request."""
    return Transaction(
        compares=tuple(map(_read_compare, body.get('compare', ()))),
        success=tuple(map(_read_operation, body.get('success', ()))),
        failure=tuple(map(_read_operation, body.get('failure', ()))),
    )


def _read_compare(body: Body) -> Compare:
    try:
        target = CompareTarget(body.get('target', CompareTarget.VERSION.value))
        relation = CompareResult(body.get('result', CompareResult.EQUAL.value))
    except ValueError as error:
        raise BadRequestError(f'compare: {error}') from None
    operand: int | bytes = data(body, 'value')
    if target is not CompareTarget.VALUE:
        operand = number(body, _OPERANDS[target])
    return Compare(
        key=data(body, _KEY),
        target=target,
        result=relation,
        operand=operand,
    )


def _read_operation(body: Body) -> Operation:
    readers = {
        'request_put': read_put,
        'request_range': read_range,
        'request_delete_range': read_delete,
    }
    for name, read in readers.items():
        inner = member(body, name)
        if inner is not None:
            return read(inner)
    raise BadRequestError('operation: none of put, range, delete_range')
