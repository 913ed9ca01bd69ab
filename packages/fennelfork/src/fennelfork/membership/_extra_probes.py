"""Probes outside the regular period, and what bounds them."""

from typing import Final

import attrs

from fennelfork.membership._member import Member
from fennelfork.membership._policy import MembershipPolicy

_MS_PER_S: Final = 1000
_MAX_CLAIMS: Final = 512
_MAX_GOSSIP_PROBES: Final = 16


@attrs.define(kw_only=True)
class ExtraProbes:
    """Claims to verify and news to spread at once, out of a token bucket.

    However much happens at a time, a daemon makes no more extra probes than
    the bucket allows; what does not fit waits, oldest first.

    Attributes:
        to_tell: names still to be told that this daemon leaves.
    """

    policy: MembershipPolicy
    leave_targets: list[str] = attrs.field(factory=list)
    _claims: dict[str, Member] = attrs.field(factory=dict)
    _gossip_probes: int = 0
    _tokens: float = 0
    _refilled_ms: float = float('-inf')

    def add_claim(self, claim: Member) -> None:
        """Have a claim verified by an own probe."""
        if len(self._claims) < _MAX_CLAIMS:
            self._claims.setdefault(claim.name, claim)

    def add_gossip_probes(self, count: int) -> None:
        """Have `count` random members probed soon, to pass on news."""
        self._gossip_probes = min(
            _MAX_GOSSIP_PROBES, self._gossip_probes + count
        )

    def take_claim(self, now_ms: float) -> Member | None:
        """Give a claim to verify now, none if there is none or no token."""
        if not self._claims or not self._take_token(now_ms):
            return None
        oldest = next(iter(self._claims))
        return self._claims.pop(oldest)

    def take_gossip_probe(self, now_ms: float) -> bool:
        """Tell whether to probe a random member now."""
        if not self._gossip_probes or not self._take_token(now_ms):
            return False
        self._gossip_probes -= 1
        return True

    def take_leave_targets(self) -> tuple[str, ...]:
        """Give the names to be told in this step."""
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
