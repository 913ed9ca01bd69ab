"""Messages of the membership protocol."""

import attrs

from fennelfork.membership._member import Member


@attrs.frozen(kw_only=True)
class ProbeMessage:
    """Probe with gossip that the receiver has to acknowledge.

    Attributes:
        sender: record of the sending daemon.
        gossip: updates about other members and claims to verify.
        digests: digests of the sender's member table.
        relay_to: name of a member to probe on behalf of the sender.
    """

    sender: Member
    gossip: tuple[Member, ...] = ()
    digests: bytes = b''
    relay_to: str | None = None


@attrs.frozen(kw_only=True)
class ProbeAck:
    """Acknowledgement of a probe.

    Attributes:
        sender: record of the acknowledging daemon.
        gossip: updates about other members.
        reached: whether the member of `relay_to` acknowledged a probe.
        has_more: whether more members differ than `gossip` has room for.
    """

    sender: Member
    gossip: tuple[Member, ...] = ()
    reached: bool = True
    has_more: bool = False


@attrs.frozen(kw_only=True)
class SendProbe:
    """Command to the adapter: send a probe and report the result.

    Attributes:
        probe_id: number that identifies the probe in the report.
        target: receiver; a seed that is not yet a member has incarnation 0.
        message: probe to send.
        timeout_ms: time after which the probe has failed.
    """

    probe_id: int
    target: Member
    message: ProbeMessage
    timeout_ms: float


@attrs.frozen(kw_only=True)
class MemberChange:
    """Change of a member record, for logs and counters."""

    before: Member | None
    after: Member
