"""Probes outside the regular period and their rate limit."""

from typing import Final

import attrs

from fennelfork.membership._member import Member
from fennelfork.membership._policy import MembershipPolicy

_MS_PER_S: Final = 1000
_MAX_CLAIMS: Final = 512
_MAX_GOSSIP_PROBES: Final = 16


@attrs.define(kw_only=True)
class ExtraProbes:
    """Pending extra probes, limited by a token bucket.

    Claims wait for verification in the order of arrival. Probes that announce
    a leave take no tokens.

    Attributes:
        policy: rate and burst of extra probes.
        leave_targets: names of members that still await the leave
            announcement.
    """

    policy: MembershipPolicy
    leave_targets: list[str] = attrs.field(factory=list)
    _claims: dict[str, Member] = attrs.field(factory=dict)
    _gossip_probes: int = 0
    _tokens: float = 0
    _refilled_ms: float = float('-inf')

    def add_claim(self, claim: Member) -> None:
        """Queue a claim for verification by a probe."""
        if len(self._claims) < _MAX_CLAIMS:
            self._claims.setdefault(claim.name, claim)

    def add_gossip_probes(self, count: int) -> None:
        """Request probes of `count` random members that carry gossip."""
        self._gossip_probes = min(
            _MAX_GOSSIP_PROBES, self._gossip_probes + count
        )

    def take_claim(self, now_ms: float) -> Member | None:
        """Remove and return the oldest claim, or none without a token."""
        if not self._claims or not self._take_token(now_ms):
            return None
        oldest = next(iter(self._claims))
        return self._claims.pop(oldest)

    def take_gossip_probe(self, now_ms: float) -> bool:
        """Return whether to probe a random member now."""
        if not self._gossip_probes or not self._take_token(now_ms):
            return False
        self._gossip_probes -= 1
        return True

    def take_leave_targets(self) -> tuple[str, ...]:
        """Remove and return the members to inform of a leave in this step."""
        count = self.policy.leave_probes_per_step
        names = tuple(self.leave_targets[:count])
        self.leave_targets = self.leave_targets[count:]
        return names

    def _take_token(self, now_ms: float) -> bool:
        elapsed_ms = now_ms - self._refilled_ms
        refill = elapsed_ms * self.policy.extra_probes_per_s / _MS_PER_S
        self._tokens = min(self.policy.extra_probe_burst, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
