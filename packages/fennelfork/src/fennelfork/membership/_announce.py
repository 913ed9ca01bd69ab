"""What a daemon announces of itself: configuration, leave, end."""

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._membership import Membership
from fennelfork.membership._messages import SendProbe


def announce(fleet: Membership, local: Member) -> None:
    """Say something new of this daemon, and spread it at once."""
    if local != fleet.view.local:
        fleet.view.update_local(local)
        fleet.schedule.extra_probes.add_gossip_probes(
            fleet.policy.gossip_fanout
        )


def announce_leave(fleet: Membership) -> None:
    """Tell each member that this daemon will stop; it serves on meanwhile.

    Each is told in person, not by gossip alone: from then on it names this
    daemon in no entry answer, so the longest `ttl_ms` counts from there.
    """
    local = fleet.view.local
    if local.state is not MemberStatus.ALIVE:
        return
    fleet.view.update_local(
        attrs.evolve(
            local,
            state=MemberStatus.LEAVING,
            incarnation=local.incarnation + 1,
        ),
    )
    fleet.schedule.announce_leave_to_all()


def leave_is_announced(fleet: Membership) -> bool:
    """Tell whether each member was told of the leave, or did not answer."""
    waiting = fleet.schedule.extra_probes.leave_targets
    return not waiting and not fleet.prober.has_gossip_outstanding


def announce_exit(fleet: Membership, now_ms: float) -> tuple[SendProbe, ...]:
    """Say that this daemon is gone; its last act.

    Returns:
        Probes that carry the news to a few members, who pass it on.
    """
    local = fleet.view.local
    fleet.view.update_local(local.with_state(MemberStatus.DEAD))
    others = fleet.schedule.sample_healthy(fleet.policy.gossip_fanout)
    return tuple(fleet.prober.send_gossip(member, now_ms) for member in others)
