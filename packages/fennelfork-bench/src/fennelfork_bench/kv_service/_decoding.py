"""Decoding of requests from the JSON format of the etcd gateway.

The format is the JSON mapping of protobuf: bytes are base64, 64-bit integers
are strings and fields with a zero value are omitted. Field names are accepted
in snake case and in camel case (`range_end` and `rangeEnd`).
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
    KeyRange,
    Operation,
    Put,
    Range,
    Transaction,
)

JsonObject = Mapping[str, Any]

_KEY: Final = 'key'
_OPERAND_FIELDS: Final = {
    CompareTarget.VERSION: 'version',
    CompareTarget.CREATE: 'create_revision',
    CompareTarget.MOD: 'mod_revision',
    CompareTarget.LEASE: 'lease',
}


class BadRequestError(Exception):
    """The request body is invalid; the message states the reason."""


def get_field(body: JsonObject, name: str) -> Any:
    """Return a field by its protobuf or JSON name; `None` if absent."""
    head, *tail = name.split('_')
    camel = ''.join((head, *map(str.capitalize, tail)))
    return body.get(name, body.get(camel))


def decode_int(body: JsonObject, name: str) -> int:
    """Decode an integer or a string of digits; 0 if the field is absent.

    Raises:
        BadRequestError: if the field is not an integer.
    """
    raw = get_field(body, name)
    try:
        return int(raw or 0)
    except (TypeError, ValueError):
        raise BadRequestError(f'{name}: not an integer') from None


def decode_bytes(body: JsonObject, name: str) -> bytes:
    """Decode base64 bytes; empty if the field is absent.

    Raises:
        BadRequestError: if the field is not base64.
    """
    raw = get_field(body, name)
    try:
        return base64.b64decode(raw or '', validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise BadRequestError(f'{name}: not base64') from None


def decode_key_range(body: JsonObject) -> KeyRange:
    """Decode the key or the range of keys of a request.

    Raises:
        BadRequestError: if the key is missing.
    """
    key = decode_bytes(body, _KEY)
    if not key:
        raise BadRequestError('etcdserver: key is not provided')
    return KeyRange(key=key, range_end=decode_bytes(body, 'range_end'))


def decode_range(body: JsonObject) -> Range:
    """Decode a range request."""
    return Range(
        key_range=decode_key_range(body),
        limit=decode_int(body, 'limit'),
        keys_only=bool(get_field(body, 'keys_only')),
    )


def decode_put(body: JsonObject) -> Put:
    """Decode a put request."""
    return Put(
        key=decode_key_range(body).key,
        value=decode_bytes(body, 'value'),
        lease=decode_int(body, 'lease'),
    )


def decode_delete(body: JsonObject) -> Delete:
    """Decode a request to delete a range."""
    return Delete(key_range=decode_key_range(body))


def decode_transaction(body: JsonObject) -> Transaction:
    """Decode a transaction request."""
    return Transaction(
        compares=tuple(map(_decode_compare, body.get('compare', ()))),
        success=tuple(map(_decode_operation, body.get('success', ()))),
        failure=tuple(map(_decode_operation, body.get('failure', ()))),
    )


def _decode_compare(body: JsonObject) -> Compare:
    try:
        target = CompareTarget(body.get('target', CompareTarget.VERSION.value))
        relation = CompareResult(body.get('result', CompareResult.EQUAL.value))
    except ValueError as error:
        raise BadRequestError(f'compare: {error}') from None
    operand: int | bytes = decode_bytes(body, 'value')
    if target is not CompareTarget.VALUE:
        operand = decode_int(body, _OPERAND_FIELDS[target])
    return Compare(
        key=decode_bytes(body, _KEY),
        target=target,
        result=relation,
        operand=operand,
    )


def _decode_operation(body: JsonObject) -> Operation:
    decoders = {
        'request_put': decode_put,
        'request_range': decode_range,
        'request_delete_range': decode_delete,
    }
    for name, decode in decoders.items():
        fields = get_field(body, name)
        if fields is not None:
            return decode(fields)
    raise BadRequestError('operation: none of put, range, delete_range')
