"""Tests of the conversion of membership messages."""

import attrs
from daemon_builders_fleet import build_member
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from fennelfork.membership import MemberStatus, ProbeAck, ProbeMessage
from fennelfork_daemon.membership._probe_codec import (
    ack_from_peer,
    ack_to_peer,
    member_to_peer,
    probe_from_peer,
    probe_to_peer,
    wire_size_bytes,
)
from fennelfork_daemon.peer._idl import peer

_FACTORY = TCyBinaryProtocolFactory()
_MAX_MESSAGE_BYTES = 3000


def _round_trip(message, kind):
    return deserialize(kind(), serialize(message, _FACTORY), _FACTORY)


class TestProbeCodec:
    """Conversion of probes and acks to thrift and back."""

    def test_probe_round_trip(self) -> None:
        """Guards against a probe that loses fields on the wire."""
        probe = ProbeMessage(
            sender=build_member(),
            gossip=tuple(
                build_member(state.value).with_state(state)
                for state in MemberStatus
            ),
            digests=bytes(range(128)),
            relay_to='vm-3',
        )
        crossed = _round_trip(probe_to_peer(probe), peer.ProbeRequest)
        assert probe_from_peer(crossed) == probe

    def test_ack_round_trip(self) -> None:
        """Guards against an ack that loses fields on the wire."""
        ack = ProbeAck(sender=build_member(), reached=False, has_more=True)
        crossed = _round_trip(ack_to_peer(ack), peer.ProbeReply)
        assert ack_from_peer(crossed) == ack

    def test_claims_with_unknown_states_are_ignored(self) -> None:
        """Guards against failures on states that a later version sends."""
        message = probe_to_peer(ProbeMessage(sender=build_member()))
        unknown = member_to_peer(build_member('vm-2'))
        unknown.state = 'hibernating'
        message.gossip = [unknown, member_to_peer(build_member('vm-3'))]
        read = probe_from_peer(message)
        assert [member.name for member in read.gossip] == ['vm-3']

    def test_gossip_is_bounded(self) -> None:
        """Guards against an unbounded number of claims in one message."""
        message = probe_to_peer(ProbeMessage(sender=build_member()))
        message.gossip = [
            member_to_peer(build_member(f'vm-{number}'))
            for number in range(1000)
        ]
        assert len(probe_from_peer(message).gossip) == 64

    def test_largest_probe_is_within_size_limit(self) -> None:
        """Guards against a probe of more than 3,000 bytes."""
        member = attrs.evolve(build_member('vm-460'), config_hash='f' * 16)
        probe = ProbeMessage(
            sender=member,
            gossip=(member,) * 9,
            digests=bytes(128),
        )
        assert wire_size_bytes(probe_to_peer(probe)) < _MAX_MESSAGE_BYTES
