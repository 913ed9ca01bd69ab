"""Permits in advance of one workspace at one daemon."""

import math
from typing import Final

import attrs

from fennelfork.workspaces._permits import PermitGrant, PermitNeed
from fennelfork.workspaces._quota_policy import HELD_MS, MS_PER_SECOND

# Time over which the rate of the requests is averaged.
_RATE_WINDOW_MS: Final = 10_000.0
# Permits are renewed at half of their validity, so that one lost message is
# made up for.
_RENEWAL_MS: Final = HELD_MS / 2
# Permits in advance need messages, which pay off from two requests in the time
# of a renewal.
_MIN_RATE_PER_S: Final = 0.15
# A workspace that runs out of permits is reported sooner, and not as soon if the
# owner had none to spare.
_URGENT_MS: Final = 500.0
_VAIN_MS: Final = 2500.0


@attrs.define(kw_only=True)
class Holding:
    """Permits of one workspace and the requests that this daemon sees.

    Attributes:
        owner: name of the daemon that granted the permits.
        count: number of permits, valid or expired.
        until_ms: end of their validity.
        returned: permits that were given up since the last report.
        reports: number of reports so far.
        next_report_ms: time of the next report.
        denied_until_ms: time until which the owner has no permit.
        rate_per_s: average rate of the requests, at the latest request.
        seen_ms: time of the latest request.
    """

    owner: str = ''
    count: int = 0
    until_ms: float = 0
    returned: int = 0
    reports: int = 0
    next_report_ms: float = 0
    denied_until_ms: float = 0
    rate_per_s: float = 0
    seen_ms: float = 0

    def record_request(self, now_ms: float) -> None:
        """Record a request of the workspace."""
        self.rate_per_s = self._current_rate_per_s(now_ms)
        self.rate_per_s += MS_PER_SECOND / _RATE_WINDOW_MS
        self.seen_ms = now_ms

    def wanted(self, now_ms: float) -> int:
        """Return the permits that cover the expected requests of a second."""
        rate_per_s = self._current_rate_per_s(now_ms)
        return 1 + int(rate_per_s) if rate_per_s >= _MIN_RATE_PER_S else 0

    def is_due(self, now_ms: float) -> bool:
        """Whether the permits are to be reported now."""
        if now_ms < self.next_report_ms:
            return False
        has_any = self.valid_count(now_ms) or self.returned
        return bool(has_any) or self.wanted(now_ms) > 0

    def valid_count(self, now_ms: float) -> int:
        """Return the number of valid permits and forget expired ones."""
        if self.until_ms <= now_ms:
            self.count = 0
        return self.count

    def try_use(self, now_ms: float) -> bool:
        """Use a valid permit, if there is one."""
        if self.valid_count(now_ms) < 1:
            return False
        self.count -= 1
        if not self.count and self.wanted(now_ms):
            self.next_report_ms = min(self.next_report_ms, now_ms + _URGENT_MS)
        return True

    def discard(self, now_ms: float) -> None:
        """Give up all permits and report soon."""
        self.returned += self.valid_count(now_ms)
        self.count = 0
        self.denied_until_ms = 0
        self.next_report_ms = now_ms

    def report(self, owner: str, name: str, now_ms: float) -> PermitNeed:
        """Return the report to an owner and give up permits beyond the need.

        Args:
            owner: name of the daemon that receives the report.
            name: name of the workspace.
            now_ms: current time.
        """
        held = self.valid_count(now_ms) if self.owner == owner else 0
        wanted = self.wanted(now_ms)
        surplus = max(0, held - wanted)
        returned = self.returned + surplus
        self.count -= surplus
        self.returned = 0
        self.reports += 1
        self.next_report_ms = now_ms + _RENEWAL_MS
        return PermitNeed(
            workspace=name,
            held=held - surplus,
            returned=returned,
            wanted=wanted,
        )

    def record_reply(
        self,
        owner: str,
        sent_ms: float,
        need: PermitNeed,
        grant: PermitGrant,
    ) -> None:
        """Replace the permits by the ones of a reply, less the used ones.

        Args:
            owner: name of the daemon that replied.
            sent_ms: time at which the report was sent.
            need: the report.
            grant: the reply.
        """
        if self.owner != owner and not grant.held:
            # The permits of the previous owner remain valid until they expire.
            return
        used = 0
        if self.owner == owner:
            used = max(0, need.held - self.count)
        self.owner = owner
        self.count = max(0, grant.held - used)
        self.until_ms = sent_ms + HELD_MS
        if not self.count and self.wanted(sent_ms):
            self.next_report_ms = sent_ms + _VAIN_MS

    def _current_rate_per_s(self, now_ms: float) -> float:
        elapsed_ms = max(0, now_ms - self.seen_ms)
        return self.rate_per_s * math.exp(-elapsed_ms / _RATE_WINDOW_MS)
