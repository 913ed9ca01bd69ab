"""Conversion between membership messages and thrift messages."""

from collections.abc import Iterable
from typing import Any, Final

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from fennelfork.membership import (
    Member,
    MemberStatus,
    ProbeAck,
    ProbeMessage,
)
from fennelfork_daemon.peer._idl import peer

_MAX_CLAIMS: Final = 64
# Frame length, version, method name, sequence number, field header and stop
# byte that the protocol adds to a message.
_ENVELOPE_BYTES: Final = 25
_KNOWN_STATES: Final = frozenset(state.value for state in MemberStatus)


def member_to_peer(member: Member) -> Any:
    """Convert a member to a thrift message."""
    return peer.MemberState(
        name=member.name,
        incarnation=member.incarnation,
        state=member.state.value,
        region=member.region,
        data_centre=member.data_centre,
        caller=member.caller,
        operator_address=member.operator,
        peer=member.peer,
        config_version=member.config_version,
        config_hash=member.config_hash,
    )


def member_from_peer(message: Any) -> Member:
    """Convert a thrift message to a member.

    Raises:
        ValueError: if the state of the member is unknown.
    """
    return Member(
        name=message.name,
        incarnation=message.incarnation,
        state=MemberStatus(message.state),
        region=message.region,
        data_centre=message.data_centre,
        caller=message.caller,
        operator=message.operator_address,
        peer=message.peer,
        config_version=message.config_version,
        config_hash=message.config_hash,
    )


def probe_to_peer(probe: ProbeMessage) -> Any:
    """Convert a probe to a thrift message."""
    return peer.ProbeRequest(
        sender=member_to_peer(probe.sender),
        gossip=[member_to_peer(member) for member in probe.gossip],
        relay_to=probe.relay_to,
        digests=probe.digests,
    )


def probe_from_peer(message: Any) -> ProbeMessage:
    """Convert a thrift message to a probe."""
    return ProbeMessage(
        sender=member_from_peer(message.sender),
        gossip=_gossip_from_peer(message.gossip),
        relay_to=message.relay_to,
        digests=message.digests or b'',
    )


def ack_to_peer(ack: ProbeAck) -> Any:
    """Convert an ack to a thrift message."""
    return peer.ProbeReply(
        sender=member_to_peer(ack.sender),
        gossip=[member_to_peer(member) for member in ack.gossip],
        reached=ack.reached,
        more=ack.has_more,
    )


def ack_from_peer(message: Any) -> ProbeAck:
    """Convert a thrift message to an ack."""
    return ProbeAck(
        sender=member_from_peer(message.sender),
        gossip=_gossip_from_peer(message.gossip),
        reached=message.reached,
        has_more=bool(message.more),
    )


def wire_size_bytes(message: Any) -> int:
    """Return the size on the wire of the message of one call, in bytes."""
    return _ENVELOPE_BYTES + len(serialize(message, TCyBinaryProtocolFactory()))


def _gossip_from_peer(messages: Iterable[Any]) -> tuple[Member, ...]:
    """Convert thrift messages to claims.

    Claims with an unknown state, from daemons of a later version, are ignored.
    """
    known = [message for message in messages if message.state in _KNOWN_STATES]
    return tuple(member_from_peer(message) for message in known[:_MAX_CLAIMS])
