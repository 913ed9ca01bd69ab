"""The calls of the key-value stand-in: a body in, a body or an error out."""

from collections.abc import Callable
from typing import Final

import attrs

from fennelfork import Clock
from fennelfork_bench.kv_service import _decoding as decoding
from fennelfork_bench.kv_service import _encoding as encoding
from fennelfork_bench.kv_service._lease import Leases
from fennelfork_bench.kv_service._messages import Operation, Transaction
from fennelfork_bench.kv_service._store import KeyValueStore
from fennelfork_bench.kv_service._watch import WatchHub
from fennelfork_bench.rig._serving import Answer, Json

_OK: Final = '200 OK'
_LEASE_ID: Final = 'ID'
_NOT_FOUND: Final = 5


@attrs.frozen(kw_only=True)
class KeyValueService:
    """The store with its leases and watches."""

    store: KeyValueStore
    leases: Leases
    hub: WatchHub


def key_value_service(clock: Clock) -> KeyValueService:
    """Build an empty service at revision 1."""
    store = KeyValueStore()
    hub = WatchHub(store=store)
    store.on_events = hub.publish
    leases = Leases(clock=clock, store=store)
    return KeyValueService(store=store, leases=leases, hub=hub)


def call_range(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/kv/range`."""
    return _single(service, decoding.read_range(body))


def call_put(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/kv/put`."""
    put = decoding.read_put(body)
    if put.lease and service.leases.find(put.lease) is None:
        return lease_not_found()
    return _single(service, put)


def call_delete(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/kv/deleterange`."""
    return _single(service, decoding.read_delete(body))


def call_txn(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/kv/txn`."""
    transaction = decoding.read_transaction(body)
    for lease in {getattr(each, 'lease', 0) for each in transaction.success} - {
        0
    }:
        if service.leases.find(lease) is None:
            return lease_not_found()
    reply = service.store.commit(transaction)
    revision = service.store.revision
    return Answer(status=_OK, body=encoding.write_transaction(reply, revision))


def call_grant(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/lease/grant`."""
    ttl_s = decoding.number(body, 'TTL')
    if ttl_s < 1:
        raise decoding.BadRequestError('TTL: at least 1')
    lease = service.leases.grant(ttl_s, decoding.number(body, _LEASE_ID))
    revision = service.store.revision
    return Answer(
        status=_OK,
        body=encoding.write_lease(lease, lease.number, revision),
    )


def call_revoke(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/lease/revoke`."""
    if not service.leases.revoke(decoding.number(body, _LEASE_ID)):
        return lease_not_found()
    return Answer(
        status=_OK,
        body={'header': encoding.header(service.store.revision)},
    )


def call_keep_alive(service: KeyValueService, body: Json) -> Answer:
    """Answer `/v3/lease/keepalive`, a stream of one message."""
    number = decoding.number(body, _LEASE_ID)
    lease = service.leases.keep_alive(number)
    revision = service.store.revision
    return Answer(
        status=_OK,
        body={'result': encoding.write_lease(lease, number, revision)},
    )


def problem(status: str, code: int, text: str) -> Answer:
    """Build an error as the gateway writes it."""
    return Answer(
        status=status,
        body={'error': text, 'code': code, 'message': text},
    )


def lease_not_found() -> Answer:
    """Build the error for a lease that is not in force."""
    return problem(
        '404 Not Found',
        _NOT_FOUND,
        'etcdserver: requested lease not found',
    )


Call = Callable[[KeyValueService, Json], Answer]

READS: Final[dict[str, Call]] = {
    '/v3/kv/range': call_range,
}
WRITES: Final[dict[str, Call]] = {
    '/v3/kv/put': call_put,
    '/v3/kv/deleterange': call_delete,
    '/v3/kv/txn': call_txn,
    '/v3/lease/grant': call_grant,
    '/v3/lease/revoke': call_revoke,
    '/v3/kv/lease/revoke': call_revoke,
    '/v3/lease/keepalive': call_keep_alive,
}


def _single(service: KeyValueService, operation: Operation) -> Answer:
    transaction = Transaction(compares=(), success=(operation,), failure=())
    reply = service.store.commit(transaction)
    header = encoding.header(service.store.revision)
    return Answer(
        status=_OK,
        body={'header': header, **encoding.write_reply(reply.replies[0])},
    )
