"""Quota policy: how the bound on a workspace is divided among its users.

The bound on the runs of a workspace in any window is

    (rate x window + burst) x (1 + excess) + slack

What the bound allows beyond the rate and the burst is called the room. A part of
the room goes to the owner of the workspace, the rest to the free allowances of
the daemons.
"""

from typing import Final

import attrs

from fennelfork.workspaces._workspace import Workspace

MS_PER_SECOND: Final = 1000.0
# Bounds the time between the grant of a permit that a request waits for and the
# use of the permit. Well below the latency targets of interactive requests.
ASK_TIMEOUT_MS: Final = 100.0
# Validity of permits that are held in advance. A longer time saves messages, a
# shorter one returns the permits of a lost daemon sooner.
HELD_MS: Final = 10_000.0
# Free runs cost no message, and most workspaces need far less than the slack.
_ROOM_OF_OWNER: Final = 0.25
# Part of the capacity that is not handed out in advance, so that a burst at one
# daemon finds permits, and a new owner has permits to grant.
_RESERVED: Final = 0.35


@attrs.frozen(kw_only=True)
class OwnerLimits:
    """Limits of the owner of a workspace.

    In any window plus the time of an ask, `rate_per_ms` times the time plus
    `capacity` is at most the bound less the free allowances.

    Attributes:
        rate_per_ms: permits that the owner gains in a millisecond.
        capacity: maximum of the permits at the owner and in advance at other
            daemons.
        spare: maximum of the permits that other daemons hold in advance.
        reserve: permits that the owner keeps for requests that wait.
        window_ms: length of the window.
    """

    rate_per_ms: float
    capacity: float
    spare: int
    reserve: float
    window_ms: float

    @property
    def span_ms(self) -> float:
        """Length of a window plus the time of an ask."""
        return self.window_ms + ASK_TIMEOUT_MS

    @property
    def max_in_window(self) -> float:
        """Maximum of the permits that are used in any window."""
        return self.rate_per_ms * self.span_ms + self.capacity

    @property
    def initial(self) -> float:
        """Permits that a new owner may add once a window has passed.

        No window contains requests of the previous owner and later ones. The
        permits that the new owner gained in the first window count.
        """
        gained = self.rate_per_ms * self.window_ms
        return max(0, self.capacity - self.spare - gained)


@attrs.frozen(kw_only=True)
class QuotaPolicy:
    """Bound on the runs of one workspace at all daemons in a window.

    Attributes:
        window_ms: length of the window.
        excess: part of the limit that may run in addition.
        slack: number of requests that may run in addition.
    """

    window_ms: float = 5000
    excess: float = 0
    slack: float = 0

    def max_in_window(self, workspace: Workspace) -> float:
        """Return the bound on the runs of a workspace in any window."""
        return self._stated(workspace) + self._room(workspace)

    def free_in_window(self, workspace: Workspace) -> float:
        """Return the runs in a window that need no permit, of all daemons."""
        return self._room(workspace) * (1 - _ROOM_OF_OWNER)

    def owner_limits(self, workspace: Workspace) -> OwnerLimits:
        """Return the limits of the owner of a workspace."""
        factor = 1 + self.excess * _ROOM_OF_OWNER
        counted = self.window_ms / (self.window_ms + ASK_TIMEOUT_MS)
        capacity = workspace.burst * factor + self.slack * _ROOM_OF_OWNER
        reserve = capacity * _RESERVED
        return OwnerLimits(
            rate_per_ms=workspace.rate_per_s * factor * counted / MS_PER_SECOND,
            capacity=capacity,
            spare=int(capacity - reserve),
            reserve=reserve,
            window_ms=self.window_ms,
        )

    def _stated(self, workspace: Workspace) -> float:
        window_s = self.window_ms / MS_PER_SECOND
        return workspace.rate_per_s * window_s + workspace.burst

    def _room(self, workspace: Workspace) -> float:
        return self._stated(workspace) * self.excess + self.slack
