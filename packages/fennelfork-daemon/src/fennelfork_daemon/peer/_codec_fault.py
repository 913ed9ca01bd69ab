"""Conversion between failures and thrift messages."""

from typing import Any

from fennelfork import Failure, FailureCode, Verdict
from fennelfork_daemon.peer._idl import peer


def fault_to_peer(failure: Failure) -> Any:
    """Convert a failure to a thrift message."""
    return peer.Fault(
        code=failure.code.value,
        verdict=failure.verdict.value,
        detail=failure.detail,
        retry_after_ms=failure.retry_after_ms,
    )


def fault_from_peer(message: Any) -> Failure:
    """Convert a thrift message to a failure."""
    return Failure(
        code=FailureCode(message.code),
        verdict=Verdict(message.verdict),
        detail=message.detail,
        retry_after_ms=message.retry_after_ms,
    )
