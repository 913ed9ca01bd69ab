"""Messages of membership on the wire."""

import attrs
from daemon_builders_fleet import a_member
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from fennelfork.membership import MemberStatus, ProbeAck, ProbeMessage
from fennelfork_daemon.membership._probe_codec import (
    answer_from_peer,
    answer_to_peer,
    member_to_peer,
    probe_from_peer,
    probe_to_peer,
    wire_bytes,
)
from fennelfork_daemon.peer._idl import peer

_FACTORY = TCyBinaryProtocolFactory()
_MESSAGE_LIMIT = 3000


def _crossed(message, kind):
    return deserialize(kind(), serialize(message, _FACTORY), _FACTORY)


class TestProbeCodec:
    """Crossing the wire changes nothing."""

    def test_probe(self) -> None:
        """Members, digests and the name to relay to arrive as sent."""
        probe = ProbeMessage(
            sender=a_member(),
            gossip=tuple(
                a_member(state.value).with_state(state)
                for state in MemberStatus
            ),
            digests=bytes(range(128)),
            relay_to='vm-3',
        )
        crossed = _crossed(probe_to_peer(probe), peer.ProbeRequest)
        assert probe_from_peer(crossed) == probe

    def test_answer(self) -> None:
        """So does an answer, whether it reached and whether there is more."""
        answer = ProbeAck(sender=a_member(), reached=False, has_more=True)
        crossed = _crossed(answer_to_peer(answer), peer.ProbeReply)
        assert answer_from_peer(crossed) == answer

    def test_claims_in_unknown_states_are_left_out(self) -> None:
        """A later version may know states that this one does not."""
        message = probe_to_peer(ProbeMessage(sender=a_member()))
        unknown = member_to_peer(a_member('vm-2'))
        unknown.state = 'hibernating'
        message.gossip = [unknown, member_to_peer(a_member('vm-3'))]
        read = probe_from_peer(message)
        assert [member.name for member in read.gossip] == ['vm-3']

    def test_gossip_is_bounded(self) -> None:
        """A peer that sends too much is heard in part."""
        message = probe_to_peer(ProbeMessage(sender=a_member()))
        message.gossip = [
            member_to_peer(a_member(f'vm-{number}')) for number in range(1000)
        ]
        assert len(probe_from_peer(message).gossip) == 64

    def test_message_of_the_limit_stays_small(self) -> None:
        """The largest probe and answer stay within 3,000 bytes."""
        member = attrs.evolve(a_member('vm-460'), config_hash='f' * 16)
        probe = ProbeMessage(
            sender=member,
            gossip=(member,) * 9,
            digests=bytes(128),
        )
        assert wire_bytes(probe_to_peer(probe)) < _MESSAGE_LIMIT
