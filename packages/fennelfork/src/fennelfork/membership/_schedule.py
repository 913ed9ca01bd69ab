"""Schedule of regular probes, probes of seeds and extra probes."""

import random
from collections.abc import Iterator, Mapping
from typing import Final

import attrs

from fennelfork.membership._extra_probes import ExtraProbes
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._member_table import MemberTable
from fennelfork.membership._messages import SendProbe
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._probe_order import ProbeOrder
from fennelfork.membership._prober import Prober
from fennelfork.membership._view import FleetView

_MAX_PERIOD_FACTOR: Final = 2


@attrs.define(kw_only=True)
class ProbeSchedule:
    """Selection of the probes that are due.

    Attributes:
        extra_probes: pending extra probes.
        seeds: members by name from the VM list of the platform.
    """

    extra_probes: ExtraProbes
    seeds: dict[str, Member] = attrs.field(factory=dict)
    _policy: MembershipPolicy
    _view: FleetView
    _prober: Prober
    _rng: random.Random
    _probe_order: ProbeOrder
    _period_count: int = 0
    _next_period_ms: float = float('-inf')
    _ordered_names: set[str] = attrs.field(factory=set)
    _ordered_epoch: int = 0

    def take_due_probes(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Return regular probes at the end of a period, and extra probes."""
        probes = list(self._leave_probes(now_ms))
        if now_ms >= self._next_period_ms:
            self._next_period_ms = now_ms + self._period_ms()
            self._period_count += 1
            probes.extend(self._regular_probes(now_ms))
            probes.extend(self._reconnect_probes(now_ms))
        return (*probes, *self.take_extra_probes(now_ms))

    def take_extra_probes(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Return the extra probes that the limits allow now."""
        return (*self._claim_probes(now_ms), *self._gossip_probes(now_ms))

    def add_new_members(self) -> None:
        """Add new members of the table to the probe order."""
        epoch = self._view.table.epoch
        if epoch == self._ordered_epoch:
            return
        self._ordered_epoch = epoch
        names = {member.name for member in self._view.table}
        for name in sorted(names - self._ordered_names):
            self._probe_order.add(name)
        self._ordered_names = names

    def announce_leave_to_all(self) -> None:
        """Queue a leave announcement to every member that is not dead."""
        own_name = self._view.local.name
        self.extra_probes.leave_targets = [
            member.name
            for member in self._view.table
            if member.state is not MemberStatus.DEAD and member.name != own_name
        ]

    def sample_healthy(self, count: int) -> list[Member]:
        """Return up to `count` random healthy other members."""
        healthy_members = self._healthy_others()
        return self._rng.sample(
            healthy_members, min(count, len(healthy_members))
        )

    def _period_ms(self) -> float:
        period_factor = min(
            self._prober.health.timeout_factor, _MAX_PERIOD_FACTOR
        )
        return self._policy.period_ms * period_factor

    def _regular_probes(self, now_ms: float) -> Iterator[SendProbe]:
        name = self._probe_order.take_next(self._view.table)
        target = name and self._view.table.get(name)
        if target and not self._prober.is_full:
            yield self._prober.probe_directly(target, now_ms)

    def _reconnect_probes(self, now_ms: float) -> Iterator[SendProbe]:
        is_alone = not self._healthy_others()
        if not is_alone and self._period_count % self._policy.reconnect_periods:
            return
        unreachable = _unreachable_members(self._view.table, self.seeds)
        count = min(
            self._policy.relay_count if is_alone else 1, len(unreachable)
        )
        for target in self._rng.sample(unreachable, count):
            if not self._prober.is_full:
                yield self._prober.send_gossip(target, now_ms)

    def _leave_probes(self, now_ms: float) -> Iterator[SendProbe]:
        if self._prober.is_full:
            return
        for name in self.extra_probes.take_leave_targets():
            member = self._view.table.get(name)
            if member is not None:
                yield self._prober.send_gossip(member, now_ms)

    def _claim_probes(self, now_ms: float) -> Iterator[SendProbe]:
        while not self._prober.is_full:
            claim = self.extra_probes.take_claim(now_ms)
            if claim is None:
                return
            probe = self._prober.verify_claim(claim, now_ms)
            if probe is not None:
                yield probe

    def _gossip_probes(self, now_ms: float) -> Iterator[SendProbe]:
        while not self._prober.is_full and self.extra_probes.take_gossip_probe(
            now_ms
        ):
            for target in self.sample_healthy(1):
                yield self._prober.send_gossip(target, now_ms)

    def _healthy_others(self) -> list[Member]:
        return [
            member
            for member in self._view.table
            if not member.is_suspect_or_dead
            and member.name != self._view.local.name
        ]


def _unreachable_members(
    table: MemberTable, seeds: Mapping[str, Member]
) -> list[Member]:
    unreachable = {
        member.name: member
        for member in table
        if member.state is MemberStatus.DEAD
    }
    for name, seed in seeds.items():
        known = table.get(name)
        if known is None or known.state is MemberStatus.DEAD:
            unreachable[name] = seed
    return list(unreachable.values())
