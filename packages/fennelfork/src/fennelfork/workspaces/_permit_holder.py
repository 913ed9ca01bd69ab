"""Permits that this daemon holds in advance, by workspace."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.workspaces._holding import Holding
from fennelfork.workspaces._permits import PermitGrant, PermitNeed

# A workspace without a request for this time needs no permit in advance.
_IDLE_MS: Final = 120_000.0
# Bounds the messages about a workspace that is over its limit.
_MIN_DENIAL_MS: Final = 250.0


@attrs.frozen(kw_only=True)
class HeldPermit:
    """Permit held in advance that a request uses.

    Attributes:
        holding: holding that the permit belongs to.
        report: number of reports before the use.
    """

    holding: Holding
    report: int


@attrs.define(kw_only=True)
class PermitHolder:
    """Uses, reports and renews the permits that this daemon holds."""

    _clock: Clock
    _holdings: dict[str, Holding] = attrs.field(factory=dict)
    # Holdings of the last report to each owner, by workspace. A workspace that
    # was removed and is back has another holding.
    _reported: dict[str, dict[str, Holding]] = attrs.field(factory=dict)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the workspaces with requests in the last two minutes."""
        return tuple(self._holdings)

    def record_request(self, workspace: str) -> None:
        """Record a request of a workspace."""
        now_ms = self._clock.now_ms()
        holding = self._holdings.setdefault(
            workspace, Holding(next_report_ms=now_ms)
        )
        holding.record_request(now_ms)

    def try_use(self, workspace: str) -> HeldPermit | None:
        """Use a valid permit, if there is one."""
        holding = self._holdings.get(workspace)
        if holding is None or not holding.try_use(self._clock.now_ms()):
            return None
        return HeldPermit(holding=holding, report=holding.reports)

    def give_back(self, permit: HeldPermit) -> None:
        """Return a permit, because the request did not run.

        After a report, the owner counts the permit as used.
        """
        if permit.holding.reports == permit.report:
            permit.holding.count += 1

    def denied_ms(self, workspace: str) -> float:
        """Return the time until the owner may have a permit again."""
        holding = self._holdings.get(workspace)
        if holding is None:
            return 0
        return max(0, holding.denied_until_ms - self._clock.now_ms())

    def deny(self, workspace: str, retry_ms: float) -> float:
        """Record that the owner has no permit and return the time to wait."""
        holding = self._holdings.setdefault(workspace, Holding())
        wait_ms = max(retry_ms, _MIN_DENIAL_MS)
        holding.denied_until_ms = self._clock.now_ms() + wait_ms
        return wait_ms

    def due(self) -> tuple[str, ...]:
        """Return the workspaces whose permits are to be reported now."""
        now_ms = self._clock.now_ms()
        self._discard_idle(now_ms)
        return tuple(
            name
            for name, holding in self._holdings.items()
            if holding.is_due(now_ms)
        )

    def report(
        self, owner: str, names: Iterable[str]
    ) -> tuple[PermitNeed, ...]:
        """Return the report of some workspaces to their owner."""
        reported = {name: self._holdings[name] for name in names}
        self._reported[owner] = reported
        return tuple(
            holding.report(owner, name, self._clock.now_ms())
            for name, holding in reported.items()
        )

    def record_reply(
        self,
        owner: str,
        sent_ms: float,
        needs: Iterable[PermitNeed],
        grants: Iterable[PermitGrant],
    ) -> None:
        """Record the reply to a report.

        Args:
            owner: name of the daemon that replied.
            sent_ms: time at which the report was sent.
            needs: the report.
            grants: the reply.
        """
        holdings = self._reported.pop(owner, {})
        reported = {need.workspace: need for need in needs}
        for grant in grants:
            holding = holdings.get(grant.workspace)
            need = reported.get(grant.workspace)
            if holding is not None and need is not None:
                holding.record_reply(owner, sent_ms, need, grant)

    def discard(self, names: Iterable[str]) -> None:
        """Give up the permits of workspaces whose limits have changed."""
        for name in names:
            holding = self._holdings.get(name)
            if holding is not None:
                holding.discard(self._clock.now_ms())

    def forget(self, names: Iterable[str]) -> None:
        """Forget workspaces that have no limit any more."""
        for name in names:
            self._holdings.pop(name, None)

    def _discard_idle(self, now_ms: float) -> None:
        idle = [
            name
            for name, holding in self._holdings.items()
            if now_ms - holding.seen_ms > _IDLE_MS
        ]
        self.forget(idle)
