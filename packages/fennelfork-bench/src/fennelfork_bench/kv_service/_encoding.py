"""Replies of the key-value stand-in, written as the gateway's JSON.

As protobuf's JSON does it, members that are zero are left out.
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

_CLUSTER: Final = '14841639068965178418'
_MEMBER: Final = '10276657743932975437'


def header(revision: int) -> Json:
    """Write the header that each reply carries."""
    return {
        'cluster_id': _CLUSTER,
        'member_id': _MEMBER,
        'revision': str(revision),
        'raft_term': '2',
    }


@singledispatch
def write_reply(reply: Reply) -> Json:
    """Write the reply to one operation, without its header.

    Raises:
        TypeError: if the reply is of an unknown kind.
    """
    raise TypeError(f'not a reply: {reply!r}')


@write_reply.register
def _write_range(reply: RangeReply) -> Json:
    body = _present({'count': str(reply.count)})
    if reply.found:
        body['kvs'] = [write_entry(entry) for entry in reply.found]
    if reply.count > len(reply.found):
        body['more'] = True
    return body


@write_reply.register
def _write_put(reply: PutReply) -> Json:
    return {}


@write_reply.register
def _write_delete(reply: DeleteReply) -> Json:
    return _present({'deleted': str(reply.deleted)})


def write_transaction(reply: TransactionReply, revision: int) -> Json:
    """Write the reply to a transaction."""
    kinds = {
        RangeReply: 'response_range',
        PutReply: 'response_put',
        DeleteReply: 'response_delete_range',
    }
    responses = [
        {kinds[type(each)]: {'header': header(revision), **write_reply(each)}}
        for each in reply.replies
    ]
    body: Json = {'header': header(revision)}
    if reply.succeeded:
        body['succeeded'] = True
    if responses:
        body['responses'] = responses
    return body


def write_entry(entry: KeyValue) -> Json:
    """Write one stored key."""
    return _present(
        {
            'key': _text(entry.key),
            'create_revision': str(entry.create_revision),
            'mod_revision': str(entry.mod_revision),
            'version': str(entry.version),
            'value': _text(entry.value),
            'lease': str(entry.lease),
        },
    )


def write_event(event: Event) -> Json:
    """Write one change; a put is protobuf's zero and has no type."""
    body: Json = {'kv': write_entry(event.entry)}
    if event.deleted:
        body['type'] = 'DELETE'
    return body


def write_lease(lease: Lease | None, number: int, revision: int) -> Json:
    """Write a lease; one that has lapsed has no time to live."""
    ttl_s = lease.ttl_s if lease else 0
    return {
        'header': header(revision),
        **_present({'ID': str(number), 'TTL': str(ttl_s)}),
    }


def _text(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _present(body: Json) -> Json:
    return {
        name: value for name, value in body.items() if value not in {'', '0'}
    }
