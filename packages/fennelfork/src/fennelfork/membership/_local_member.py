"""A daemon's own standing: what it answers to claims about itself."""

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._policy import MembershipPolicy


@attrs.define(kw_only=True)
class LocalMember:
    """This daemon's word about itself.

    A daemon denies that it is suspect by a higher incarnation, but only if a
    probe from outside reached it lately: one that can call others and cannot
    be called is of no use to them, and would be suspected again at once.

    Attributes:
        me: what it says.
        refutations: how often it denied a claim.
        superseded: whether another daemon runs under its name.
    """

    record: Member
    refutations: int = 0
    is_superseded: bool = False
    _policy: MembershipPolicy
    _last_probe_ms: float = float('-inf')

    def record_probe(self, now_ms: float) -> None:
        """Note that a probe from outside arrived."""
        self._last_probe_ms = now_ms

    def apply_claim(self, claim: Member, now_ms: float) -> bool:
        """Take in what another daemon says of this one.

        Returns:
            Whether `record` changed and is to be told.
        """
        if claim.incarnation > self.record.incarnation:
            return self._apply_later_incarnation(claim)
        if (
            claim.incarnation == self.record.incarnation
            and claim.is_suspect_or_dead
        ):
            return self._refute(claim, now_ms)
        return False

    def _apply_later_incarnation(self, claim: Member) -> bool:
        is_other_daemon = claim.peer != self.record.peer
        if is_other_daemon and (
            self.is_superseded or not claim.is_suspect_or_dead
        ):
            self.is_superseded = claim.state is not MemberStatus.DEAD
        if not self.is_superseded:
            self._raise_incarnation(claim)
        return not self.is_superseded

    def _refute(self, claim: Member, now_ms: float) -> bool:
        unprobed_ms = now_ms - self._last_probe_ms
        policy = self._policy
        if unprobed_ms > policy.reachable_periods * policy.period_ms:
            return False
        self.refutations += 1
        self._raise_incarnation(claim)
        return True

    def _raise_incarnation(self, claim: Member) -> None:
        self.record = attrs.evolve(
            self.record, incarnation=claim.incarnation + 1
        )
