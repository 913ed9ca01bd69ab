"""Permits of one workspace at its owner."""

import attrs

from fennelfork.workspaces._permits import PermitGrant, PermitNeed
from fennelfork.workspaces._quota_policy import HELD_MS, OwnerLimits


@attrs.frozen(kw_only=True)
class _Held:
    """Permits in advance at one daemon, as far as the owner knows."""

    count: int
    until_ms: float


@attrs.define(kw_only=True)
class PermitBucket:
    """Token bucket that counts the permits in advance at other daemons.

    The level and the permits in advance together never exceed the capacity, so
    the runs in a time are at most the capacity plus the rate times the time. A
    permit in advance leaves the count when its holder reports its use, returns
    the permit, or the permit expires.

    Attributes:
        limits: limits of the owner.
        tenure_ms: time from which the owner owns the workspace.
    """

    limits: OwnerLimits
    tenure_ms: float
    _refilled_ms: float
    _has_initial: bool = False
    _has_spare: bool = False
    _level: float = 0
    _held: dict[str, _Held] = attrs.field(factory=dict)

    def grant(
        self, holder: str, need: PermitNeed, now_ms: float
    ) -> PermitGrant:
        """Grant permits for requests that wait, without a report."""
        self._refill(now_ms)
        granted = max(0, min(need.needed, int(self._level)))
        self._level -= granted
        missing = need.needed - granted
        return PermitGrant(
            workspace=need.workspace,
            granted=granted,
            held=self._count_of(holder),
            retry_ms=self._wait_ms(1) if missing > 0 else 0,
        )

    def report(self, holder: str, need: PermitNeed, now_ms: float) -> int:
        """Record the permits that a holder has and return how many it may have.

        Permits that were counted and are neither held nor returned have been
        used. The answer may be lost, so the holder may use all that it reports.
        """
        self._refill(now_ms)
        counted = self._count_of(holder)
        self._held.pop(holder, None)
        self._level += max(0, min(need.returned, counted - need.held))
        extra = self._extra(need, now_ms)
        self._level -= extra
        total = need.held + extra
        if total:
            until_ms = now_ms + HELD_MS
            self._held[holder] = _Held(count=total, until_ms=until_ms)
        self._clamp()
        return total

    def change_limits(self, limits: OwnerLimits, now_ms: float) -> None:
        """Apply changed limits: a lower one at once, a higher one as well."""
        self._refill(now_ms)
        raised = limits.capacity - self.limits.capacity
        if not self._has_spare:
            raised -= limits.spare - self.limits.spare
        self._level += max(0, raised)
        self.limits = limits
        self._clamp()

    def _extra(self, need: PermitNeed, now_ms: float) -> int:
        """Return how many more permits a holder may have in advance.

        A new owner grants none until the ones of the previous owner have
        expired, so permits of at most one previous owner are valid.
        """
        if now_ms - self.tenure_ms < HELD_MS:
            return 0
        allowed = min(
            self.limits.spare - self._outstanding - need.held,
            int(self._level - self.limits.reserve),
        )
        return max(0, min(need.wanted - need.held, allowed))

    @property
    def _outstanding(self) -> int:
        return sum(held.count for held in self._held.values())

    def _count_of(self, holder: str) -> int:
        held = self._held.get(holder)
        return 0 if held is None else held.count

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        self._refilled_ms = max(self._refilled_ms, now_ms)
        self._level += elapsed_ms * self.limits.rate_per_ms
        self._clamp()
        self._add_withheld(now_ms)
        expired = [
            holder
            for holder, held in self._held.items()
            if held.until_ms <= now_ms
        ]
        for holder in expired:
            self._held.pop(holder)

    def _add_withheld(self, now_ms: float) -> None:
        """Add the permits that a new owner withholds for a time.

        The spare ones may be in use at other daemons until the permits of the
        previous owner have expired; these uses count for one more window.
        """
        tenure_ms = now_ms - self.tenure_ms
        if not self._has_initial and tenure_ms >= self.limits.window_ms:
            self._has_initial = True
            self._level += self.limits.initial
            self._clamp()
        if not self._has_spare and tenure_ms >= HELD_MS + self.limits.window_ms:
            self._has_spare = True
            self._level += self.limits.spare

    def _clamp(self) -> None:
        """Limit the level to what is not outstanding or withheld."""
        allowed = self.limits.capacity - self._outstanding
        if not self._has_spare:
            allowed -= self.limits.spare
        self._level = max(0, min(self._level, allowed))

    def _wait_ms(self, wanted: int) -> float:
        return max(0, wanted - self._level) / self.limits.rate_per_ms


def permit_bucket(limits: OwnerLimits, tenure_ms: float) -> PermitBucket:
    """Build the bucket of an owner that has granted nothing so far.

    Args:
        limits: limits of the owner.
        tenure_ms: time from which this daemon is the only owner; the bucket is
            empty at that time.
    """
    return PermitBucket(
        limits=limits, tenure_ms=tenure_ms, refilled_ms=tenure_ms
    )
