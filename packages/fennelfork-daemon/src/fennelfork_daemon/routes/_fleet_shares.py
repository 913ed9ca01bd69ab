"""Shares of this daemon in the limits of the whole fleet."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork import Clock
from fennelfork.membership import FleetShare, LeaseTimes, Member, SharePolicy
from fennelfork.workspaces import AllowanceShares
from fennelfork_daemon.routes._settings import RouteSettings

# Daemons renew their leases and look at the store more often than this.
_MIN_AGE_MS: Final = 3000.0
# Time for which a daemon that is cut off keeps its free runs. Longer outages of
# the store are rare.
_LASTING_AGE_MS: Final = 15_000.0


@attrs.frozen(kw_only=True)
class FleetShares:
    """Shares that add up to at most 1 whatever the daemons know.

    Attributes:
        retries: share in the retry budgets.
        allowance: shares in the free allowances of workspaces.
    """

    retries: FleetShare
    allowance: AllowanceShares

    def record_view(self, members: Iterable[Member], age_ms: float) -> None:
        """Record the registered daemons.

        Args:
            members: registered daemons.
            age_ms: time since the store had exactly these entries, infinite if
                unknown.
        """
        known = tuple(members)
        self.retries.record_view(known, age_ms)
        self.allowance.current.record_view(known, age_ms)
        self.allowance.lasting.record_view(known, age_ms)

    def apply_settings(self, settings: RouteSettings) -> None:
        """Apply the window of the retry budget of new settings."""
        self.retries.policy = _retry_policy(settings)


def fleet_shares(
    settings: RouteSettings, clock: Clock, local: Member, lease: LeaseTimes
) -> FleetShares:
    """Create the shares of a daemon that has not read the store yet."""
    window_ms = settings.quota.window_ms
    current = SharePolicy(
        window_ms=window_ms, max_age_ms=max(settings.in_force_ms, _MIN_AGE_MS)
    )
    lasting = SharePolicy(window_ms=window_ms, max_age_ms=_LASTING_AGE_MS)
    return FleetShares(
        retries=FleetShare(
            policy=_retry_policy(settings),
            clock=clock,
            local=local,
            lease=lease,
        ),
        allowance=AllowanceShares(
            lasting=FleetShare(
                policy=lasting, clock=clock, local=local, lease=lease
            ),
            current=FleetShare(
                policy=current, clock=clock, local=local, lease=lease
            ),
        ),
    )


def _retry_policy(settings: RouteSettings) -> SharePolicy:
    return SharePolicy(
        window_ms=settings.repeats.window_ms,
        max_age_ms=max(settings.in_force_ms, _MIN_AGE_MS),
    )
