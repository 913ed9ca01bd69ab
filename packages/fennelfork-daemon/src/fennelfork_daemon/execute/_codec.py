"""Codec for non-idempotent requests in the peer RPC."""

from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Failure
from fennelfork.once import ExecuteRequest, unknown_outcome
from fennelfork_daemon.execute._received_request import ReceivedRequest
from fennelfork_daemon.peer._codec_fault import fault_from_peer, fault_to_peer
from fennelfork_daemon.peer._idl import peer


def request_to_peer(
    request: ExecuteRequest,
    traffic_class: str,
    remaining_ms: float,
) -> Any:
    """Encode a request with the remaining time until its deadline."""
    return peer.ExecuteRequest(
        request_id=request.request_id,
        front=request.front,
        ticket=request.ticket,
        key=request.key,
        action=request.action,
        deadline_ms=int(remaining_ms),
        tenant=request.tenant,
        traffic_class=traffic_class,
    )


def request_from_peer(message: Any, now_ms: float) -> ReceivedRequest:
    """Decode a request and compute its deadline on the local clock."""
    return ReceivedRequest(
        request=ExecuteRequest(
            request_id=message.request_id,
            ticket=message.ticket,
            front=message.front,
            key=message.key,
            action=message.action,
            tenant=message.tenant,
        ),
        traffic_class=message.traffic_class,
        deadline_at_ms=now_ms + message.deadline_ms,
    )


def reply_to_peer(result: Result[str, Failure]) -> Any:
    """Encode an outcome or a failure."""
    if isinstance(result, Success):
        return peer.ExecuteReply(outcome=result.unwrap())
    return peer.ExecuteReply(fault=fault_to_peer(result.failure()))


def reply_from_peer(message: Any) -> Result[str, Failure]:
    """Decode an outcome or a failure."""
    if message.fault is not None:
        return Failed(fault_from_peer(message.fault))
    if message.outcome is None:
        return Failed(
            unknown_outcome(
                'the reply of the daemon of the ticket has no outcome'
            )
        )
    return Success(message.outcome)
