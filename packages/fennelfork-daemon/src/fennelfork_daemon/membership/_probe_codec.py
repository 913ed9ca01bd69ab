"""Between the messages of membership and those of the peer face."""

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

_MOST_CLAIMS: Final = 64
# Frame length, version, name of the call, sequence number, field header and
# end mark that the protocol puts round a message.
_ENVELOPE_BYTES: Final = 25
_STATES: Final = frozenset(state.value for state in MemberStatus)


def member_to_peer(member: Member) -> Any:
    """Write what is known of a member."""
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
    """Read what another daemon knows of a member.

    Raises:
        ValueError: if it is in a state that this daemon does not know.
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
    """Write a probe as its thrift message."""
    return peer.ProbeRequest(
        sender=member_to_peer(probe.sender),
        gossip=[member_to_peer(member) for member in probe.gossip],
        relay_to=probe.relay_to,
        digests=probe.digests,
    )


def probe_from_peer(message: Any) -> ProbeMessage:
    """Read a probe from its thrift message."""
    return ProbeMessage(
        sender=member_from_peer(message.sender),
        gossip=_gossip(message.gossip),
        relay_to=message.relay_to,
        digests=message.digests or b'',
    )


def answer_to_peer(answer: ProbeAck) -> Any:
    """Write the answer to a probe as its thrift message."""
    return peer.ProbeReply(
        sender=member_to_peer(answer.sender),
        gossip=[member_to_peer(member) for member in answer.gossip],
        reached=answer.reached,
        more=answer.has_more,
    )


def answer_from_peer(message: Any) -> ProbeAck:
    """Read the answer to a probe from its thrift message."""
    return ProbeAck(
        sender=member_from_peer(message.sender),
        gossip=_gossip(message.gossip),
        reached=message.reached,
        has_more=bool(message.more),
    )


def wire_bytes(message: Any) -> int:
    """Count the bytes that a message of one call takes on the wire."""
    return _ENVELOPE_BYTES + len(serialize(message, TCyBinaryProtocolFactory()))


def _gossip(messages: Iterable[Any]) -> tuple[Member, ...]:
    """Read claims; those in a state of a later version are left out."""
    known = [message for message in messages if message.state in _STATES]
    return tuple(member_from_peer(message) for message in known[:_MOST_CLAIMS])
