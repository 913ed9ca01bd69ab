"""Part of this daemon in the runs of a workspace that need no permit."""

from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.membership import FleetShare
from fennelfork.workspaces._quota_policy import QuotaPolicy
from fennelfork.workspaces._workspace import Workspace

# Fraction of the allowance for daemons with a usable lasting share.
_LASTING_PART: Final = 0.8


@attrs.frozen(kw_only=True)
class AllowanceShares:
    """Shares of this daemon in the two parts of an allowance.

    Attributes:
        lasting: share that the daemon keeps while it is cut off for a while.
        current: share that the daemon has soon after its start, and only while
            the store serves it.
    """

    lasting: FleetShare
    current: FleetShare


@attrs.define(kw_only=True)
class FreeAllowance:
    """Runs that a daemon may admit without asking, for each workspace."""

    _policy: QuotaPolicy
    _clock: Clock
    _shares: AllowanceShares
    _uses: dict[str, list[float]] = attrs.field(factory=dict)

    def try_use(self, workspace: Workspace) -> float | None:
        """Use one run of the allowance, if any is left in this window.

        Returns:
            Time of the use, or None without a use.
        """
        now_ms = self._clock.now_ms()
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
        for name in tuple(self._uses):
            if not self._recent_uses(name, now_ms):
                self._uses.pop(name)

    def _recent_uses(self, name: str, now_ms: float) -> list[float]:
        oldest_ms = now_ms - self._policy.window_ms
        return [used for used in self._uses.get(name, ()) if used >= oldest_ms]

    def _own_part(self, workspace: Workspace) -> int:
        """Return how many runs in a window this daemon may admit.

        The daemons that use the one part of the allowance need not know those
        that use the other part.
        """
        total = self._policy.free_in_window(workspace)
        lasting = total * _LASTING_PART
        if self._shares.lasting.is_usable:
            return self._shares.lasting.units_of(lasting, workspace.name)
        return self._shares.current.units_of(total - lasting, workspace.name)
