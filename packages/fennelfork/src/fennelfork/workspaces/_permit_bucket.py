"""Permits of one workspace at its owner."""

from collections.abc import Iterable

import attrs

from fennelfork.workspaces._permits import PermitGrant, PermitNeed
from fennelfork.workspaces._quota_policy import HELD_MS, OwnerLimits
from fennelfork.workspaces._recent_permits import RecentPermits


@attrs.frozen(kw_only=True)
class _Held:
    """Permits in advance at one daemon, as far as the owner knows."""

    count: int
    until_ms: float


@attrs.frozen(kw_only=True)
class FormerLimits:
    """Limits of the owner that were in force until a time."""

    limits: OwnerLimits
    until_ms: float


@attrs.define(kw_only=True)
class PermitBucket:
    """Token bucket that counts the permits in advance at other daemons.

    The level and the permits in advance together never exceed the capacity, so
    the runs in a time are at most the capacity plus the rate times the time. A
    permit in advance leaves the count when its holder reports its use, returns
    the permit, or the permit expires.

    After a change of the limits, permits that were used under former limits
    count in each window that contains their use; the largest limits in force in
    a window bound the window. The level is negative while more permits have been
    used than the new limits allow.

    Attributes:
        limits: limits of the owner.
        tenure_ms: time from which the owner owns the workspace.
    """

    limits: OwnerLimits
    tenure_ms: float
    _refilled_ms: float
    _recent: RecentPermits
    _former: list[FormerLimits] = attrs.field(factory=list)
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
        self._recent.record(granted)
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
        returned = max(0, min(need.returned, counted - need.held))
        self._level += returned
        extra = self._extra(need, now_ms)
        self._level -= extra
        # Permits of a previous owner have not been granted by this bucket.
        foreign = max(0, need.held - counted)
        self._recent.record(extra + foreign - returned)
        total = need.held + extra
        if total:
            until_ms = now_ms + HELD_MS
            self._held[holder] = _Held(count=total, until_ms=until_ms)
        self._clamp()
        return total

    def change_limits(self, limits: OwnerLimits, now_ms: float) -> None:
        """Apply changed limits: a lower one at once, a higher one as well.

        A new owner gains nothing by a higher limit in its first window, which
        may contain requests of the previous owner.
        """
        self._refill(now_ms)
        raised = limits.capacity - self.limits.capacity
        if not self._has_spare:
            raised -= limits.spare - self.limits.spare
        self._former.append(FormerLimits(limits=self.limits, until_ms=now_ms))
        self.limits = limits
        self._add(max(0, raised) if self._has_initial else 0, now_ms)
        self._level = min(self._level, self._max_level(now_ms))

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
        self._recent.advance(now_ms, self._outstanding)
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
            self._add(self.limits.initial, now_ms)
        if not self._has_spare and tenure_ms >= HELD_MS + self.limits.window_ms:
            self._has_spare = True
            self._add(self.limits.spare, now_ms)

    def _add(self, count: float, now_ms: float) -> None:
        """Add permits, as far as the level stays within its maximum."""
        max_level = self._max_level(now_ms)
        self._level = max(self._level, min(self._level + count, max_level))
        self._clamp()

    def _max_level(self, now_ms: float) -> float:
        """Return the highest level that keeps each window within its bound.

        The windows are those that contain now. The largest limits in force in a
        window are its bound.
        """
        oldest_ms = now_ms - self._recent.span_ms
        self._former = [
            former for former in self._former if former.until_ms >= oldest_ms
        ]
        all_limits = (self.limits, *(one.limits for one in self._former))
        bound = max(limits.max_in_window for limits in all_limits)
        return bound - self._recent.most_in_window(
            self.limits.rate_per_ms, now_ms
        )

    def _clamp(self) -> None:
        """Limit the level to what is not outstanding or withheld."""
        allowed = self.limits.capacity - self._outstanding
        if not self._has_spare:
            allowed -= self.limits.spare
        self._level = min(self._level, max(0, allowed))

    def _wait_ms(self, wanted: int) -> float:
        return max(0, wanted - self._level) / self.limits.rate_per_ms


def permit_bucket(
    limits: OwnerLimits,
    tenure_ms: float,
    former: Iterable[FormerLimits] = (),
) -> PermitBucket:
    """Build the bucket of an owner that has granted nothing so far.

    Args:
        limits: limits of the owner.
        tenure_ms: time from which this daemon is the only owner.
        former: limits that were in force in the window before that time. A
            previous owner may have granted their whole capacity just before, so
            the bucket is empty or in debt.
    """
    all_limits = (limits, *(one.limits for one in former))
    bound = max(one.max_in_window for one in all_limits)
    capacity = max(one.capacity for one in all_limits)
    debt = capacity + limits.rate_per_ms * limits.span_ms - bound
    return PermitBucket(
        limits=limits,
        tenure_ms=tenure_ms,
        refilled_ms=tenure_ms,
        recent=RecentPermits(span_ms=limits.span_ms),
        level=-max(0, debt),
    )
