"""What to believe of a claim that one daemon makes about another.

Good news is believed, as only the member itself raises its incarnation. Bad
news about a member that is believed to be well is verified by an own probe
first: a claim of a daemon that was cut off or slow then costs one probe and
moves no home.
"""

import attrs

from fennelfork.membership._member import Member, MemberStatus


@attrs.frozen(kw_only=True)
class Belief:
    """What to make of a claim.

    Attributes:
        store: the record to keep from now on, none to keep the known one.
        verify: whether to probe the member and tell it of the claim.
    """

    store: Member | None = None
    verify: bool = False


def weigh_claim(known: Member | None, claim: Member) -> Belief:
    """Weigh what a third daemon says of a member.

    Args:
        known: what is believed of that member so far.
        claim: what is said of it.

    Returns:
        The record to keep and whether to verify the claim.
    """
    if known is None:
        return _weigh_unknown(claim)
    if claim.incarnation < known.incarnation:
        return Belief()
    if claim.incarnation > known.incarnation:
        return _weigh_newer(known, claim)
    return _weigh_same(known, claim)


def _weigh_unknown(claim: Member) -> Belief:
    if claim.state is MemberStatus.DEAD:
        return Belief()
    return Belief(store=claim, verify=claim.is_doubted)


def _weigh_newer(known: Member, claim: Member) -> Belief:
    if not claim.is_doubted or known.state is MemberStatus.DEAD:
        return Belief(store=claim, verify=claim.is_doubted)
    return Belief(store=claim.with_state(known.state), verify=True)


def _weigh_same(known: Member, claim: Member) -> Belief:
    if claim.state is MemberStatus.LEAVING and _precedes_leaving(known):
        return Belief(store=claim)
    if claim.is_doubted and known.state is MemberStatus.ALIVE:
        return Belief(verify=True)
    if claim.state is MemberStatus.DEAD and known.state is not claim.state:
        return Belief(store=claim)
    return Belief(store=_newer_config(known, claim))


def _precedes_leaving(known: Member) -> bool:
    return known.state in {MemberStatus.ALIVE, MemberStatus.SUSPECT}


def _newer_config(known: Member, claim: Member) -> Member | None:
    if claim.config_version <= known.config_version:
        return None
    return attrs.evolve(
        known,
        config_version=claim.config_version,
        config_hash=claim.config_hash,
    )
