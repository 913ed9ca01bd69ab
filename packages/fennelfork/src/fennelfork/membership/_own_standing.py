"""A daemon's own standing: what it answers to claims about itself."""

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._policy import MembershipPolicy


@attrs.define(kw_only=True)
class OwnStanding:
    """This daemon's word about itself.

    A daemon denies that it is suspect by a higher incarnation, but only if a
    probe from outside reached it lately: one that can call others and cannot
    be called is of no use to them, and would be suspected again at once.

    Attributes:
        me: what it says.
        refutations: how often it denied a claim.
        superseded: whether another daemon runs under its name.
    """

    me: Member
    refutations: int = 0
    superseded: bool = False
    _policy: MembershipPolicy
    _reached_at: float = float('-inf')

    def note_reached(self, now_ms: float) -> None:
        """Note that a probe from outside arrived."""
        self._reached_at = now_ms

    def hear(self, claim: Member, now_ms: float) -> bool:
        """Take in what another daemon says of this one.

        Returns:
            Whether `me` changed and is to be told.
        """
        if claim.incarnation > self.me.incarnation:
            return self._hear_of_later_run(claim)
        if claim.incarnation == self.me.incarnation and claim.is_doubted:
            return self._refute(claim, now_ms)
        return False

    def _hear_of_later_run(self, claim: Member) -> bool:
        other = claim.peer != self.me.peer
        if other and (self.superseded or not claim.is_doubted):
            self.superseded = claim.state is not MemberStatus.DEAD
        if not self.superseded:
            self._outbid(claim)
        return not self.superseded

    def _refute(self, claim: Member, now_ms: float) -> bool:
        silent_ms = now_ms - self._reached_at
        policy = self._policy
        if silent_ms > policy.reachable_periods * policy.period_ms:
            return False
        self.refutations += 1
        self._outbid(claim)
        return True

    def _outbid(self, claim: Member) -> None:
        self.me = attrs.evolve(self.me, incarnation=claim.incarnation + 1)
