"""Part of this daemon in the runs of a workspace that need no permit."""

import math
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import attrs
import xxhash

from fennelfork._clock import Clock
from fennelfork.membership import Member, capable_in_data_centres
from fennelfork.workspaces._quota_policy import QuotaPolicy
from fennelfork.workspaces._workspace import Workspace

# Part of the allowance that is used. The rest covers daemons that have joined
# but are not known everywhere yet.
_MARGIN: Final = 0.8
# Part of the fleet that has to be known before a daemon ranks itself among the
# capable daemons.
_MIN_KNOWN: Final = 0.8
# Interval between two readings of the members.
_REFRESH_INTERVAL_MS: Final = 500.0


class LimitDivisor(Protocol):
    """Largest recent number by which a daemon divides limits of the fleet."""

    @property
    def is_known(self) -> bool:
        """Whether any value has been recorded."""

    @property
    def maximum(self) -> float:
        """Maximum within a time that is not shorter than the quota window."""


@attrs.define(kw_only=True)
class FreeAllowance:
    """Runs that a daemon may admit without asking, for each workspace."""

    _policy: QuotaPolicy
    _clock: Clock
    _limit_divisor: LimitDivisor
    _local: Member
    _members: Callable[[], Iterable[Member]]
    _started_ms: float
    _uses: dict[str, list[float]] = attrs.field(factory=dict)
    _seen: dict[str, tuple[Member, float]] = attrs.field(factory=dict)
    _refreshed_ms: float = -math.inf

    def try_use(self, workspace: Workspace) -> float | None:
        """Use one run of the allowance, if any is left in this window.

        Returns:
            Time of the use, or None without a use.
        """
        now_ms = self._clock.now_ms()
        # A previous process of this daemon may have used its part just before.
        if now_ms - self._started_ms <= self._policy.window_ms:
            return None
        uses = self._recent_uses(workspace.name, now_ms)
        if len(uses) >= self._own_part(workspace):
            return None
        uses.append(now_ms)
        self._uses[workspace.name] = uses
        return now_ms

    def give_back(self, workspace: str, used_ms: float) -> None:
        """Return the use of a time, because the request did not run."""
        uses = self._uses.get(workspace, [])
        if used_ms in uses:
            uses.remove(used_ms)

    def discard_old(self) -> None:
        """Forget the workspaces without a use in this window."""
        now_ms = self._clock.now_ms()
        self._refresh_members(now_ms)
        for name in tuple(self._uses):
            if not self._recent_uses(name, now_ms):
                self._uses.pop(name)

    def _recent_uses(self, name: str, now_ms: float) -> list[float]:
        oldest_ms = now_ms - self._policy.window_ms
        return [used for used in self._uses.get(name, ()) if used >= oldest_ms]

    def _own_part(self, workspace: Workspace) -> int:
        """Return how many runs in a window this daemon may admit.

        If there is less than one run for each daemon, a few daemons may admit
        one each. These differ from workspace to workspace.
        """
        if not self._limit_divisor.is_known:
            return 0
        total = self._policy.free_in_window(workspace) * _MARGIN
        part = total / self._limit_divisor.maximum
        if part >= 1:
            return int(part)
        return int(self._rank_for(workspace.name) < int(total))

    def _rank_for(self, workspace: str) -> float:
        """Return the rank of this daemon among the members of a window.

        A member that has left keeps its rank for a window, since it may have
        used its run just before.
        """
        self._refresh_members(self._clock.now_ms())
        known = {name: member for name, (member, _) in self._seen.items()}
        known[self._local.name] = self._local
        names = [
            member.name for member in capable_in_data_centres(known.values())
        ]
        is_known = len(known) >= self._limit_divisor.maximum * _MIN_KNOWN
        if self._local.name not in names or not is_known:
            return math.inf
        names.sort(key=lambda name: _weight(workspace, name))
        return names.index(self._local.name)

    def _refresh_members(self, now_ms: float) -> None:
        """Record the members, and forget those that left a window ago."""
        if now_ms - self._refreshed_ms < _REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        for member in self._members():
            self._seen[member.name] = (member, now_ms)
        oldest_ms = now_ms - self._policy.window_ms
        left = [
            name
            for name, (_, seen_ms) in self._seen.items()
            if seen_ms < oldest_ms
        ]
        for name in left:
            self._seen.pop(name)


def _weight(workspace: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'free\0{workspace}\0{name}'.encode())
