"""Encoding of responses in the JSON format of the etcd gateway.

Fields with a zero value are omitted, as in the JSON mapping of protobuf.
"""

import base64
from functools import singledispatch
from typing import Final

from fennelfork_bench.kv_service._lease import Lease
from fennelfork_bench.kv_service._messages import KeyValue
from fennelfork_bench.kv_service._replies import (
    DeleteReply,
    Event,
    PutReply,
    RangeReply,
    Reply,
    TransactionReply,
)
from fennelfork_bench.rig._serving import Json

_CLUSTER_ID: Final = '14841639068965178418'
_MEMBER_ID: Final = '10276657743932975437'


def encode_header(revision: int) -> Json:
    """Encode the header of a response."""
    return {
        'cluster_id': _CLUSTER_ID,
        'member_id': _MEMBER_ID,
        'revision': str(revision),
        'raft_term': '2',
    }


@singledispatch
def encode_reply(reply: Reply) -> Json:
    """Encode the reply to one operation, without its header.

    Raises:
        TypeError: if the type of the reply is not supported.
    """
    raise TypeError(f'the reply {reply!r} is not of a supported type')


@encode_reply.register
def _encode_range(reply: RangeReply) -> Json:
    body = _without_zeros({'count': str(reply.count)})
    if reply.entries:
        body['kvs'] = [encode_entry(entry) for entry in reply.entries]
    if reply.count > len(reply.entries):
        body['more'] = True
    return body


@encode_reply.register
def _encode_put(reply: PutReply) -> Json:
    return {}


@encode_reply.register
def _encode_delete(reply: DeleteReply) -> Json:
    return _without_zeros({'deleted': str(reply.deleted)})


def encode_transaction(reply: TransactionReply, revision: int) -> Json:
    """Encode the reply to a transaction."""
    field_names = {
        RangeReply: 'response_range',
        PutReply: 'response_put',
        DeleteReply: 'response_delete_range',
    }
    responses = [
        {
            field_names[type(each)]: {
                'header': encode_header(revision),
                **encode_reply(each),
            }
        }
        for each in reply.replies
    ]
    body: Json = {'header': encode_header(revision)}
    if reply.succeeded:
        body['succeeded'] = True
    if responses:
        body['responses'] = responses
    return body


def encode_entry(entry: KeyValue) -> Json:
    """Encode one stored key."""
    return _without_zeros(
        {
            'key': _encode_bytes(entry.key),
            'create_revision': str(entry.create_revision),
            'mod_revision': str(entry.mod_revision),
            'version': str(entry.version),
            'value': _encode_bytes(entry.value),
            'lease': str(entry.lease),
        },
    )


def encode_event(event: Event) -> Json:
    """Encode an event; a put has no `type`, whose zero value is `PUT`."""
    body: Json = {'kv': encode_entry(event.entry)}
    if event.is_deletion:
        body['type'] = 'DELETE'
    return body


def encode_lease(lease: Lease | None, lease_id: int, revision: int) -> Json:
    """Encode a lease; an expired lease has no time to live."""
    ttl_s = lease.ttl_s if lease else 0
    return {
        'header': encode_header(revision),
        **_without_zeros({'ID': str(lease_id), 'TTL': str(ttl_s)}),
    }


def _encode_bytes(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _without_zeros(body: Json) -> Json:
    return {
        name: value for name, value in body.items() if value not in {'', '0'}
    }
