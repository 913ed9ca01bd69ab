"""What a daemon announces of itself: configuration, leave, end."""

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._membership import Membership
from fennelfork.membership._messages import SendProbe


def announce(fleet: Membership, me: Member) -> None:
    """Say something new of this daemon, and spread it at once."""
    if me != fleet.view.me:
        fleet.view.declare(me)
        fleet.schedule.errands.spread(fleet.policy.spread)


def announce_leave(fleet: Membership) -> None:
    """Tell each member that this daemon will stop; it serves on meanwhile.

    Each is told in person, not by gossip alone: from then on it names this
    daemon in no entry answer, so the longest `ttl_ms` counts from there.
    """
    me = fleet.view.me
    if me.state is not MemberStatus.ALIVE:
        return
    fleet.view.declare(
        attrs.evolve(
            me,
            state=MemberStatus.LEAVING,
            incarnation=me.incarnation + 1,
        ),
    )
    fleet.schedule.tell_all()


def leave_is_told(fleet: Membership) -> bool:
    """Tell whether each member was told of the leave, or did not answer."""
    waiting = fleet.schedule.errands.to_tell
    return not waiting and not fleet.prober.is_telling


def announce_end(fleet: Membership, now_ms: float) -> tuple[SendProbe, ...]:
    """Say that this daemon is gone; its last act.

    Returns:
        Probes that carry the news to a few members, who pass it on.
    """
    me = fleet.view.me
    fleet.view.declare(me.with_state(MemberStatus.DEAD))
    others = fleet.schedule.some_others(fleet.policy.spread)
    return tuple(fleet.prober.news(member, now_ms) for member in others)
