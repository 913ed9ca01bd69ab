"""Probes outside the regular period, and what bounds them."""

from typing import Final

import attrs

from fennelfork.membership._member import Member
from fennelfork.membership._policy import MembershipPolicy

_MS_PER_S: Final = 1000
_MOST_CLAIMS: Final = 512
_MOST_SPREAD: Final = 16


@attrs.define(kw_only=True)
class Errands:
    """Claims to verify and news to spread at once, out of a token bucket.

    However much happens at a time, a daemon makes no more extra probes than
    the bucket allows; what does not fit waits, oldest first.

    Attributes:
        to_tell: names still to be told that this daemon leaves.
    """

    policy: MembershipPolicy
    to_tell: list[str] = attrs.field(factory=list)
    _claims: dict[str, Member] = attrs.field(factory=dict)
    _spread: int = 0
    _tokens: float = 0
    _filled_ms: float = float('-inf')

    def verify(self, claim: Member) -> None:
        """Have a claim verified by an own probe."""
        if len(self._claims) < _MOST_CLAIMS:
            self._claims.setdefault(claim.name, claim)

    def spread(self, count: int) -> None:
        """Have `count` random members probed soon, to pass on news."""
        self._spread = min(_MOST_SPREAD, self._spread + count)

    def next_claim(self, now_ms: float) -> Member | None:
        """Give a claim to verify now, none if there is none or no token."""
        if not self._claims or not self._pay(now_ms):
            return None
        oldest = next(iter(self._claims))
        return self._claims.pop(oldest)

    def next_spread(self, now_ms: float) -> bool:
        """Tell whether to probe a random member now."""
        if not self._spread or not self._pay(now_ms):
            return False
        self._spread -= 1
        return True

    def next_to_tell(self) -> tuple[str, ...]:
        """Give the names to be told in this step."""
        count = self.policy.tell_a_step
        names = tuple(self.to_tell[:count])
        self.to_tell = self.to_tell[count:]
        return names

    def _pay(self, now_ms: float) -> bool:
        elapsed_ms = now_ms - self._filled_ms
        refill = elapsed_ms * self.policy.extra_a_second / _MS_PER_S
        self._tokens = min(self.policy.extra_burst, self._tokens + refill)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
