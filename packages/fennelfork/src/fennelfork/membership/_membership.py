"""Membership without agreement: who is there, found out by probing.

Each daemon probes one member a period, whatever the size of the fleet. What
does not answer is tried through relays, then suspected, then held for dead;
news travels with the probes. The controller decides and does no I/O: the
adapter carries out each `SendProbe` and reports what came of it.
"""

import random
from collections.abc import Iterable

import attrs

from fennelfork.membership._errands import Errands
from fennelfork.membership._health import LocalHealth
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._messages import (
    ProbeAnswer,
    ProbeMessage,
    SendProbe,
)
from fennelfork.membership._order import ProbeOrder
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._prober import Outcome, Prober
from fennelfork.membership._schedule import ProbeSchedule
from fennelfork.membership._view import FleetView, fleet_view


@attrs.frozen(kw_only=True)
class Heard:
    """What follows from a probe of another daemon.

    Attributes:
        answer: to give at once.
        sends: probes to make.
    """

    answer: ProbeAnswer
    sends: tuple[SendProbe, ...]


@attrs.define(kw_only=True)
class Membership:
    """The controller of one daemon's membership.

    Call `step` several times a period; carry out what each method returns.

    Attributes:
        policy: times and bounds.
        view: what this daemon believes of the fleet.
        prober: the outstanding calls.
        schedule: whom to probe when.
    """

    policy: MembershipPolicy
    view: FleetView
    prober: Prober
    schedule: ProbeSchedule
    _rng: random.Random
    _stepped_at: float | None = None

    @property
    def health(self) -> LocalHealth:
        """How far this daemon trusts its own timing."""
        return self.prober.health

    def step(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Move on to `now_ms`: time out, and probe if the period is over."""
        self._excuse_lag(now_ms)
        self.view.expire(now_ms)
        return self.schedule.due(now_ms)

    def on_probe(self, message: ProbeMessage, now_ms: float) -> Heard:
        """Take in a probe of another daemon."""
        self.view.hear_probe(message.sender, now_ms)
        self._hear(message.gossip, now_ms)
        differing = self.view.table.differing(
            message.digests,
            self.policy.sync_limit,
            self._rng,
        )
        news = self.view.news_for(
            message.sender,
            message.gossip,
            message.digests,
        )
        answer = ProbeAnswer(
            sender=self.view.me,
            gossip=(*news, *differing),
            more=len(differing) == self.policy.sync_limit,
        )
        return Heard(answer=answer, sends=self.schedule.extra(now_ms))

    def on_answer(
        self,
        call: int,
        answer: ProbeAnswer,
        now_ms: float,
    ) -> tuple[SendProbe, ...]:
        """Take in the answer to a `SendProbe`."""
        epoch = self.view.table.epoch
        outcome = self.prober.answered(call, answer, now_ms)
        self.view.hear_answer(answer.sender, now_ms)
        self._hear(answer.gossip, now_ms)
        if answer.more and epoch != self.view.table.epoch:
            self.schedule.errands.spread(1)
        return self._conclude(outcome, now_ms)

    def on_failure(
        self,
        call: int,
        now_ms: float,
        *,
        refused: bool,
    ) -> tuple[SendProbe, ...]:
        """Take in that a `SendProbe` was not answered.

        Args:
            call: the number of the order.
            now_ms: when the adapter gave up.
            refused: whether the address refused the connection, which shows
                that nobody listens there.
        """
        outcome = self.prober.failed(call, now_ms, refused=refused)
        return self._conclude(outcome, now_ms)

    def relay(self, name: str, now_ms: float) -> SendProbe | None:
        """Probe a member for another daemon, none if it is unknown."""
        target = self.view.table.get(name)
        if target is None or self.prober.is_full:
            return None
        return self.prober.news(target, now_ms)

    def on_unreachable(self, name: str) -> None:
        """Take a hint, for instance of a failed sub-query, and verify it."""
        known = self.view.table.get(name)
        if known is not None and known.state is MemberStatus.ALIVE:
            doubt = known.with_state(MemberStatus.SUSPECT)
            self.schedule.errands.verify(doubt)

    def set_seeds(self, seeds: Iterable[Member]) -> None:
        """Take what the lagging VM list shows, as addresses to try."""
        own_name = self.view.me.name
        self.schedule.seeds = {
            seed.name: seed for seed in seeds if seed.name != own_name
        }

    def _hear(self, claims: Iterable[Member], now_ms: float) -> None:
        standing = self.view.standing
        refutations = standing.refutations
        for claim in self.view.hear_claims(claims, now_ms):
            self.schedule.errands.verify(claim)
        if standing.refutations > refutations:
            self.prober.health.worse()
            self.schedule.errands.spread(self.policy.spread)
        self.schedule.note_members()

    def _conclude(
        self,
        outcome: Outcome,
        now_ms: float,
    ) -> tuple[SendProbe, ...]:
        if outcome.accused:
            self.schedule.errands.spread(self.policy.spread)
        return (*outcome.sends, *self.schedule.extra(now_ms))

    def _excuse_lag(self, now_ms: float) -> None:
        stepped_at = self._stepped_at
        self._stepped_at = now_ms
        if stepped_at is None or now_ms - stepped_at <= self.policy.lag_ms:
            return
        self.prober.forgive()
        self.view.timers.excuse(now_ms - stepped_at)
        self.prober.health.worse()


def membership(
    me: Member,
    policy: MembershipPolicy,
    rng: random.Random,
) -> Membership:
    """Build the controller of the daemon that `me` describes."""
    view = fleet_view(me, policy)
    prober = Prober(
        policy=policy,
        view=view,
        health=LocalHealth(),
        rng=rng,
    )
    schedule = ProbeSchedule(
        errands=Errands(policy=policy),
        policy=policy,
        view=view,
        prober=prober,
        rng=rng,
        order=ProbeOrder(own_name=me.name, rng=rng),
    )
    return Membership(
        policy=policy,
        view=view,
        rng=rng,
        prober=prober,
        schedule=schedule,
    )
