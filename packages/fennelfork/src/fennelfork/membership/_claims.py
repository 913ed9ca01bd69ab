"""What to believe of a claim that one daemon makes about another.

Good news is believed, as only the member itself raises its incarnation. Bad
news about a member that is believed to be well is verified by an own probe
first: a claim of a daemon that was cut off or slow then costs one probe and
moves no home.
"""

import attrs

from fennelfork.membership._member import Member, MemberStatus


@attrs.frozen(kw_only=True)
class ClaimDecision:
    """What to make of a claim.

    Attributes:
        store: the record to keep from now on, none to keep the known one.
        verify: whether to probe the member and tell it of the claim.
    """

    store: Member | None = None
    verify: bool = False


def evaluate_claim(known: Member | None, claim: Member) -> ClaimDecision:
    """Weigh what a third daemon says of a member.

    Args:
        known: what is believed of that member so far.
        claim: what is said of it.

    Returns:
        The record to keep and whether to verify the claim.
    """
    if known is None:
        return _evaluate_unknown(claim)
    if claim.incarnation < known.incarnation:
        return ClaimDecision()
    if claim.incarnation > known.incarnation:
        return _evaluate_newer(known, claim)
    return _evaluate_same(known, claim)


def _evaluate_unknown(claim: Member) -> ClaimDecision:
    if claim.state is MemberStatus.DEAD:
        return ClaimDecision()
    return ClaimDecision(store=claim, verify=claim.is_suspect_or_dead)


def _evaluate_newer(known: Member, claim: Member) -> ClaimDecision:
    if not claim.is_suspect_or_dead or known.state is MemberStatus.DEAD:
        return ClaimDecision(store=claim, verify=claim.is_suspect_or_dead)
    return ClaimDecision(store=claim.with_state(known.state), verify=True)


def _evaluate_same(known: Member, claim: Member) -> ClaimDecision:
    if claim.state is MemberStatus.LEAVING and _precedes_leaving(known):
        return ClaimDecision(store=claim)
    if claim.is_suspect_or_dead and known.state is MemberStatus.ALIVE:
        return ClaimDecision(verify=True)
    if claim.state is MemberStatus.DEAD and known.state is not claim.state:
        return ClaimDecision(store=claim)
    return ClaimDecision(store=_newer_config(known, claim))


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
