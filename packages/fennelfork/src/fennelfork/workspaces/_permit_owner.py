"""Grants permits of the workspaces that this daemon owns."""

import functools
from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.workspaces._owners import Owners
from fennelfork.workspaces._permit_bucket import (
    FormerLimits,
    PermitBucket,
    permit_bucket,
)
from fennelfork.workspaces._permits import PermitAsk, PermitGrant, PermitNeed
from fennelfork.workspaces._quota_policy import HELD_MS, QuotaPolicy
from fennelfork.workspaces._workspace import Workspace

# A daemon that has not checked its ownership for this time, for example because
# it was suspended, may have missed another owner.
_MAX_CHECK_GAP_MS: Final = 2000.0


@attrs.define(kw_only=True)
class PermitOwner:
    """Buckets of the workspaces that this daemon owns and that are in use."""

    _policy: QuotaPolicy
    _clock: Clock
    _owners: Owners
    _workspaces: Mapping[str, Workspace] = attrs.field(factory=dict)
    _limited_ms: dict[str, float] = attrs.field(factory=dict)
    _former: dict[str, list[FormerLimits]] = attrs.field(factory=dict)
    _resumed_ms: float = 0
    _checked_ms: float = 0
    _buckets: dict[str, PermitBucket] = attrs.field(factory=dict)
    _numbers: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    @property
    def owned(self) -> frozenset[str]:
        """Names of the workspaces whose permits this daemon has granted."""
        return frozenset(self._buckets)

    def apply(self, workspaces: Mapping[str, Workspace]) -> None:
        """Apply the limited workspaces of a configuration."""
        now_ms = self._clock.now_ms()
        self._record_former(workspaces, now_ms)
        # A workspace without a limit may have run any number of requests.
        self._limited_ms = {
            name: self._limited_ms.get(name, now_ms) for name in workspaces
        }
        self._workspaces = workspaces
        for name in self._buckets.keys() - workspaces.keys():
            self._buckets.pop(name)
        for name, bucket in self._buckets.items():
            limits = self._policy.owner_limits(workspaces[name])
            if limits != bucket.limits:
                bucket.change_limits(limits, now_ms)

    def check(self) -> None:
        """Forget the buckets of workspaces that this daemon may not own."""
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms > _MAX_CHECK_GAP_MS:
            self._buckets.clear()
            self._resumed_ms = now_ms
        self._checked_ms = now_ms
        for name in tuple(self._buckets):
            tenure_ms = self._owners.tenure_ms(name)
            if tenure_ms is None or tenure_ms > now_ms:
                self._buckets.pop(name)

    def answer(self, ask: PermitAsk) -> tuple[PermitGrant, ...]:
        """Answer a message of a daemon.

        Returns:
            One grant for each need of a workspace that this daemon owns.
        """
        self.check()
        if not self._owners.may_grant:
            return ()
        is_report = self._accept_number(ask)
        answer_need = functools.partial(
            self._answer_need, ask.holder, is_report=is_report
        )
        return tuple(filter(None, map(answer_need, ask.needs)))

    def _record_former(
        self, workspaces: Mapping[str, Workspace], now_ms: float
    ) -> None:
        """Record the limits that a new configuration replaces or removes."""
        kept_ms = self._policy.window_ms + HELD_MS
        self._former = {
            name: recent
            for name, former in self._former.items()
            if (
                recent := [
                    one for one in former if now_ms - one.until_ms <= kept_ms
                ]
            )
        }
        for name, workspace in self._workspaces.items():
            if workspaces.get(name) != workspace:
                limits = self._policy.owner_limits(workspace)
                self._former.setdefault(name, []).append(
                    FormerLimits(limits=limits, until_ms=now_ms)
                )

    def _accept_number(self, ask: PermitAsk) -> bool:
        """Whether the message is a report that is newer than all before.

        A report that arrives late would hide permits granted after it.
        """
        incarnation, number = self._numbers.get(ask.holder, (None, 0))
        is_same_process = incarnation == ask.incarnation
        if not ask.number or (is_same_process and ask.number <= number):
            return False
        self._numbers[ask.holder] = (ask.incarnation, ask.number)
        return True

    def _answer_need(
        self, holder: str, need: PermitNeed, *, is_report: bool
    ) -> PermitGrant | None:
        bucket = self._find_bucket(need.workspace)
        if bucket is None:
            return None
        now_ms = self._clock.now_ms()
        held = bucket.report(holder, need, now_ms) if is_report else 0
        grant = bucket.grant(holder, need, now_ms)
        return attrs.evolve(grant, held=held)

    def _find_bucket(self, name: str) -> PermitBucket | None:
        workspace = self._workspaces.get(name)
        tenure_ms = self._owners.tenure_ms(name)
        if workspace is None or tenure_ms is None:
            return None
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = permit_bucket(
                self._policy.owner_limits(workspace),
                max(tenure_ms, self._limited_ms[name], self._resumed_ms),
                self._former.get(name, ()),
            )
            self._buckets[name] = bucket
        return bucket
