"""Decisions on claims that one daemon makes about another.

A claim that a member is alive is stored, since only the member itself raises
its incarnation. A claim that a healthy member is suspect or dead is verified
by a probe first, so that a daemon with a slow or broken network cannot move
homes.
"""

import attrs

from fennelfork.membership._member import Member, MemberStatus


@attrs.frozen(kw_only=True)
class ClaimDecision:
    """Decision on a claim about a member.

    Attributes:
        store: record that replaces the known one; none to keep the known one.
        verify: whether to probe the member and forward the claim to it.
    """

    store: Member | None = None
    verify: bool = False


def evaluate_claim(known: Member | None, claim: Member) -> ClaimDecision:
    """Decide on a claim of a third daemon about a member.

    Args:
        known: stored record of the member, if any.
        claim: record of the member in the message.

    Returns:
        The record to store and whether to verify the claim.
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
