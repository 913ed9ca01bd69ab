"""Non-idempotent requests, to and from the messages of the peer face."""

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
    left_ms: float,
) -> Any:
    """Write a request with what remains of its deadline."""
    return peer.ExecuteRequest(
        request_id=request.request_id,
        front=request.front,
        ticket=request.ticket,
        key=request.key,
        action=request.action,
        deadline_ms=int(left_ms),
        tenant=request.tenant,
        traffic_class=traffic_class,
    )


def request_from_peer(message: Any, now_ms: float) -> ReceivedRequest:
    """Read a request and take its deadline from now on."""
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
    """Write the outcome or the failure."""
    if isinstance(result, Success):
        return peer.ExecuteReply(outcome=result.unwrap())
    return peer.ExecuteReply(fault=fault_to_peer(result.failure()))


def reply_from_peer(message: Any) -> Result[str, Failure]:
    """Read the outcome or the failure."""
    if message.fault is not None:
        return Failed(fault_from_peer(message.fault))
    if message.outcome is None:
        return Failed(
            unknown_outcome('the daemon of the ticket gave no outcome')
        )
    return Success(message.outcome)
