"""Announcements of the local daemon: configuration, leave and exit."""

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._membership import Membership
from fennelfork.membership._messages import SendProbe


def announce_local_member(fleet: Membership, local: Member) -> None:
    """Store the member record of the local daemon; gossip it if changed."""
    if local != fleet.view.local:
        fleet.view.update_local(local)
        fleet.schedule.extra_probes.add_gossip_probes(
            fleet.policy.gossip_fanout
        )


def announce_leave(fleet: Membership) -> None:
    """Announce to every member that the local daemon will stop.

    The daemon keeps serving. A direct message to each member, rather than
    gossip alone, bounds the time after which entry answers no longer list the
    daemon: the longest `ttl_ms` starts when the announcement ends.
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
    """Return whether every member has received the leave or timed out."""
    waiting = fleet.schedule.extra_probes.leave_targets
    return not waiting and not fleet.prober.has_gossip_outstanding


def announce_exit(fleet: Membership, now_ms: float) -> tuple[SendProbe, ...]:
    """Mark the local daemon dead, as the last step before the process ends.

    Returns:
        Probes that gossip the exit to a few members.
    """
    local = fleet.view.local
    fleet.view.update_local(local.with_state(MemberStatus.DEAD))
    others = fleet.schedule.sample_healthy(fleet.policy.gossip_fanout)
    return tuple(fleet.prober.send_gossip(member, now_ms) for member in others)
