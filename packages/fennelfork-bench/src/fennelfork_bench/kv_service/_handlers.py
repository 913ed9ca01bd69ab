"""Handlers of the calls to the key-value stand-in."""

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
from fennelfork_bench.rig._serving import Json, Response

_OK: Final = '200 OK'
_LEASE_ID: Final = 'ID'
_NOT_FOUND: Final = 5


@attrs.frozen(kw_only=True)
class KeyValueService:
    """Store of the stand-in, with its leases and watches."""

    store: KeyValueStore
    leases: Leases
    hub: WatchHub


def key_value_service(clock: Clock) -> KeyValueService:
    """Build a service with an empty store at revision 1."""
    store = KeyValueStore()
    hub = WatchHub(store=store)
    store.on_events = hub.publish
    leases = Leases(clock=clock, store=store)
    return KeyValueService(store=store, leases=leases, hub=hub)


def handle_range(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/kv/range`."""
    return _run_operation(service, decoding.decode_range(body))


def handle_put(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/kv/put`."""
    put = decoding.decode_put(body)
    if put.lease and service.leases.find_active(put.lease) is None:
        return build_lease_error()
    return _run_operation(service, put)


def handle_delete(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/kv/deleterange`."""
    return _run_operation(service, decoding.decode_delete(body))


def handle_txn(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/kv/txn`."""
    transaction = decoding.decode_transaction(body)
    for lease in {getattr(each, 'lease', 0) for each in transaction.success} - {
        0
    }:
        if service.leases.find_active(lease) is None:
            return build_lease_error()
    reply = service.store.commit(transaction)
    revision = service.store.revision
    return Response(
        status=_OK, body=encoding.encode_transaction(reply, revision)
    )


def handle_grant(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/lease/grant`."""
    ttl_s = decoding.decode_int(body, 'TTL')
    if ttl_s < 1:
        raise decoding.BadRequestError('TTL: at least 1')
    lease = service.leases.grant(ttl_s, decoding.decode_int(body, _LEASE_ID))
    revision = service.store.revision
    return Response(
        status=_OK,
        body=encoding.encode_lease(lease, lease.lease_id, revision),
    )


def handle_revoke(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/lease/revoke`."""
    if not service.leases.revoke(decoding.decode_int(body, _LEASE_ID)):
        return build_lease_error()
    return Response(
        status=_OK,
        body={'header': encoding.encode_header(service.store.revision)},
    )


def handle_keep_alive(service: KeyValueService, body: Json) -> Response:
    """Handle `/v3/lease/keepalive` with a stream of one message."""
    lease_id = decoding.decode_int(body, _LEASE_ID)
    lease = service.leases.keep_alive(lease_id)
    revision = service.store.revision
    return Response(
        status=_OK,
        body={'result': encoding.encode_lease(lease, lease_id, revision)},
    )


def build_error(status: str, code: int, text: str) -> Response:
    """Build an error response in the format of the etcd gateway."""
    return Response(
        status=status,
        body={'error': text, 'code': code, 'message': text},
    )


def build_lease_error() -> Response:
    """Build the error response for a lease that is not active."""
    return build_error(
        '404 Not Found',
        _NOT_FOUND,
        'etcdserver: requested lease not found',
    )


Handler = Callable[[KeyValueService, Json], Response]

READ_HANDLERS: Final[dict[str, Handler]] = {
    '/v3/kv/range': handle_range,
}
WRITE_HANDLERS: Final[dict[str, Handler]] = {
    '/v3/kv/put': handle_put,
    '/v3/kv/deleterange': handle_delete,
    '/v3/kv/txn': handle_txn,
    '/v3/lease/grant': handle_grant,
    '/v3/lease/revoke': handle_revoke,
    '/v3/kv/lease/revoke': handle_revoke,
    '/v3/lease/keepalive': handle_keep_alive,
}


def _run_operation(service: KeyValueService, operation: Operation) -> Response:
    transaction = Transaction(compares=(), success=(operation,), failure=())
    reply = service.store.commit(transaction)
    header = encoding.encode_header(service.store.revision)
    return Response(
        status=_OK,
        body={'header': header, **encoding.encode_reply(reply.replies[0])},
    )
