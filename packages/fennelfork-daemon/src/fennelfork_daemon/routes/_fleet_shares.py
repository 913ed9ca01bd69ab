"""Shares of this daemon in the limits of the whole fleet."""

import functools
from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork import Clock
from fennelfork.membership import FleetShare, LeaseTimes, Member, SharePolicy
from fennelfork.routes import COLD_WINDOW_MS
from fennelfork.workspaces import AllowanceShares
from fennelfork_daemon.routes._settings import RouteSettings

# Daemons renew their leases and look at the store more often than this.
_MIN_AGE_MS: Final = 3000.0
# Time for which a daemon that is cut off keeps its free runs. Longer outages of
# the store are rare.
_LASTING_AGE_MS: Final = 8000.0


@attrs.frozen(kw_only=True)
class FleetShares:
    """Shares that add up to at most 1 whatever the daemons know.

    Attributes:
        retries: share in the retry budgets.
        cold_servers: share in the requests to cold servers.
        allowance: shares in the free allowances of workspaces.
    """

    retries: FleetShare
    cold_servers: FleetShare
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
        self.cold_servers.record_view(known, age_ms)
        self.allowance.current.record_view(known, age_ms)
        self.allowance.lasting.record_view(known, age_ms)

    def apply_settings(self, settings: RouteSettings) -> None:
        """Apply the window of the retry budget of new settings."""
        self.retries.policy = _policy(settings, settings.repeats.window_ms)


def fleet_shares(
    settings: RouteSettings, clock: Clock, local: Member, lease: LeaseTimes
) -> FleetShares:
    """Create the shares of a daemon that has not read the store yet.

    Args:
        settings: windows of the limits, and the age of a view.
        clock: clock of this daemon.
        local: entry of this daemon.
        lease: times of the lease of this daemon.
    """
    share_of = functools.partial(
        FleetShare, clock=clock, local=local, lease=lease
    )
    quota_ms = settings.quota.window_ms
    lasting = SharePolicy(window_ms=quota_ms, max_age_ms=_LASTING_AGE_MS)
    return FleetShares(
        retries=share_of(policy=_policy(settings, settings.repeats.window_ms)),
        cold_servers=share_of(policy=_policy(settings, COLD_WINDOW_MS)),
        allowance=AllowanceShares(
            lasting=share_of(policy=lasting),
            current=share_of(policy=_policy(settings, quota_ms)),
        ),
    )


def _policy(settings: RouteSettings, window_ms: float) -> SharePolicy:
    return SharePolicy(
        window_ms=window_ms,
        max_age_ms=max(settings.in_force_ms, _MIN_AGE_MS),
    )
