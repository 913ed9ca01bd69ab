"""What daemons say to each other about membership."""

import attrs

from fennelfork.membership._member import Member


@attrs.frozen(kw_only=True)
class ProbeMessage:
    """A question whether the receiver answers, with news.

    Attributes:
        sender: the asking daemon's word about itself.
        gossip: what it believes of some others, and claims to check.
        digests: of its table, for the receiver to find what differs.
        relay_to: name of a member to probe on the sender's behalf.
    """

    sender: Member
    gossip: tuple[Member, ...] = ()
    digests: bytes = b''
    relay_to: str | None = None


@attrs.frozen(kw_only=True)
class ProbeAck:
    """The answer to a probe.

    Attributes:
        sender: the answering daemon's word about itself.
        gossip: what it believes of some others.
        reached: whether the member of `relay_to` answered it.
        more: whether tables differ in more than fitted into `gossip`.
    """

    sender: Member
    gossip: tuple[Member, ...] = ()
    reached: bool = True
    has_more: bool = False


@attrs.frozen(kw_only=True)
class SendProbe:
    """Order to the adapter: call `target`, then report what came of it.

    Attributes:
        call: number to report the result under.
        to: whom to call; a seed that is not yet a member has incarnation 0.
        message: what to send.
        timeout_ms: after which the call has failed.
    """

    probe_id: int
    target: Member
    message: ProbeMessage
    timeout_ms: float


@attrs.frozen(kw_only=True)
class MemberChange:
    """A change of belief, for logs and counters."""

    before: Member | None
    after: Member
