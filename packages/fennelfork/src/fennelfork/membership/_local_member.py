"""The local daemon's own record and its refutation of claims."""

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._policy import MembershipPolicy


@attrs.define(kw_only=True)
class LocalMember:
    """Record of the local daemon.

    The daemon refutes a suspicion by a higher incarnation, but only after a
    recent probe from another daemon: a daemon with outbound connections alone
    is of no use to others and would soon be suspected again.

    Attributes:
        record: record that the daemon publishes.
        refutations: number of refuted claims.
        is_superseded: whether another daemon runs under the same name.
    """

    record: Member
    refutations: int = 0
    is_superseded: bool = False
    _policy: MembershipPolicy
    _last_probe_ms: float = float('-inf')

    def record_probe(self, now_ms: float) -> None:
        """Record the arrival of a probe from another daemon."""
        self._last_probe_ms = now_ms

    def apply_claim(self, claim: Member, now_ms: float) -> bool:
        """Apply a claim of another daemon about the local one.

        Returns:
            Whether `record` changed and has to be published.
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
