"""Whom to probe when: the regular period, seeds, and extra probes."""

import random
from collections.abc import Iterator, Mapping
from typing import Final

import attrs

from fennelfork.membership._errands import Errands
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._member_table import MemberTable
from fennelfork.membership._messages import SendProbe
from fennelfork.membership._order import ProbeOrder
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._prober import Prober
from fennelfork.membership._view import FleetView

_MOST_STRETCH: Final = 2


@attrs.define(kw_only=True)
class ProbeSchedule:
    """Decides which probes are due.

    Attributes:
        errands: extra probes that wait for their turn.
        seeds: members by name as the VM list shows them.
    """

    errands: Errands
    seeds: dict[str, Member] = attrs.field(factory=dict)
    _policy: MembershipPolicy
    _view: FleetView
    _prober: Prober
    _rng: random.Random
    _order: ProbeOrder
    _periods: int = 0
    _period_at: float = float('-inf')
    _ordered: set[str] = attrs.field(factory=set)
    _seen_epoch: int = 0

    def due(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Give the probes of the period, if it is over, and extra ones."""
        sends = list(self._tell(now_ms))
        if now_ms >= self._period_at:
            self._period_at = now_ms + self._period_ms()
            self._periods += 1
            sends.extend(self._regular(now_ms))
            sends.extend(self._reconnect(now_ms))
        return (*sends, *self.extra(now_ms))

    def extra(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Give the extra probes that may be made now."""
        return (*self._verify(now_ms), *self._spread(now_ms))

    def note_members(self) -> None:
        """Give members that are new to the table a place in the order."""
        epoch = self._view.table.epoch
        if epoch == self._seen_epoch:
            return
        self._seen_epoch = epoch
        names = {member.name for member in self._view.table}
        for name in sorted(names - self._ordered):
            self._order.add(name)
        self._ordered = names

    def tell_all(self) -> None:
        """Have each member told in person what this daemon says of itself."""
        own_name = self._view.me.name
        self.errands.to_tell = [
            member.name
            for member in self._view.table
            if member.state is not MemberStatus.DEAD and member.name != own_name
        ]

    def some_others(self, count: int) -> list[Member]:
        """Give up to `count` random members that are not doubted."""
        others = self._others()
        return self._rng.sample(others, min(count, len(others)))

    def _period_ms(self) -> float:
        stretch = min(self._prober.health.factor, _MOST_STRETCH)
        return self._policy.period_ms * stretch

    def _regular(self, now_ms: float) -> Iterator[SendProbe]:
        name = self._order.following(self._view.table)
        target = name and self._view.table.get(name)
        if target and not self._prober.is_full:
            yield self._prober.direct(target, now_ms)

    def _reconnect(self, now_ms: float) -> Iterator[SendProbe]:
        alone = not self._others()
        if not alone and self._periods % self._policy.reconnect_periods:
            return
        lost = _lost(self._view.table, self.seeds)
        count = min(self._policy.relays if alone else 1, len(lost))
        for target in self._rng.sample(lost, count):
            if not self._prober.is_full:
                yield self._prober.news(target, now_ms)

    def _tell(self, now_ms: float) -> Iterator[SendProbe]:
        if self._prober.is_full:
            return
        for name in self.errands.next_to_tell():
            member = self._view.table.get(name)
            if member is not None:
                yield self._prober.news(member, now_ms)

    def _verify(self, now_ms: float) -> Iterator[SendProbe]:
        while not self._prober.is_full:
            claim = self.errands.next_claim(now_ms)
            if claim is None:
                return
            send = self._prober.verify(claim, now_ms)
            if send is not None:
                yield send

    def _spread(self, now_ms: float) -> Iterator[SendProbe]:
        while not self._prober.is_full and self.errands.next_spread(now_ms):
            for target in self.some_others(1):
                yield self._prober.news(target, now_ms)

    def _others(self) -> list[Member]:
        return [
            member
            for member in self._view.table
            if not member.is_doubted and member.name != self._view.me.name
        ]


def _lost(table: MemberTable, seeds: Mapping[str, Member]) -> list[Member]:
    lost = {
        member.name: member
        for member in table
        if member.state is MemberStatus.DEAD
    }
    for name, seed in seeds.items():
        known = table.get(name)
        if known is None or known.state is MemberStatus.DEAD:
            lost[name] = seed
    return list(lost.values())
