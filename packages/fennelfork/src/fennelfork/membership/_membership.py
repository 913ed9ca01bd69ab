"""Membership without agreement: who is there, found out by probing.

Each daemon probes one member a period, whatever the size of the fleet. What
does not answer is tried through relays, then suspected, then held for dead;
news travels with the probes. The controller decides and does no I/O: the
adapter carries out each `SendProbe` and reports what came of it.
"""

import random
from collections.abc import Iterable

import attrs

from fennelfork.membership._extra_probes import ExtraProbes
from fennelfork.membership._health import LocalHealth
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._messages import (
    ProbeAck,
    ProbeMessage,
    SendProbe,
)
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._probe_order import ProbeOrder
from fennelfork.membership._prober import ProbeOutcome, Prober
from fennelfork.membership._schedule import ProbeSchedule
from fennelfork.membership._view import FleetView, fleet_view


@attrs.frozen(kw_only=True)
class ProbeEffects:
    """What follows from a probe of another daemon.

    Attributes:
        answer: to give at once.
        sends: probes to make.
    """

    ack: ProbeAck
    probes: tuple[SendProbe, ...]


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
    _last_step_ms: float | None = None

    @property
    def health(self) -> LocalHealth:
        """How far this daemon trusts its own timing."""
        return self.prober.health

    def step(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Move on to `now_ms`: time out, and probe if the period is over."""
        self._handle_step_lag(now_ms)
        self.view.handle_timers(now_ms)
        return self.schedule.take_due_probes(now_ms)

    def on_probe(self, message: ProbeMessage, now_ms: float) -> ProbeEffects:
        """Take in a probe of another daemon."""
        self.view.apply_probe(message.sender, now_ms)
        self._apply_claims(message.gossip, now_ms)
        members_to_sync = self.view.table.members_to_sync(
            message.digests,
            self.policy.max_synced_members,
            self._rng,
        )
        updates = self.view.updates_for(
            message.sender,
            message.gossip,
            message.digests,
        )
        ack = ProbeAck(
            sender=self.view.local,
            gossip=(*updates, *members_to_sync),
            has_more=len(members_to_sync) == self.policy.max_synced_members,
        )
        return ProbeEffects(
            ack=ack, probes=self.schedule.take_extra_probes(now_ms)
        )

    def on_ack(
        self,
        probe_id: int,
        ack: ProbeAck,
        now_ms: float,
    ) -> tuple[SendProbe, ...]:
        """Take in the answer to a `SendProbe`."""
        epoch = self.view.table.epoch
        outcome = self.prober.record_ack(probe_id, ack, now_ms)
        self.view.apply_ack(ack.sender, now_ms)
        self._apply_claims(ack.gossip, now_ms)
        if ack.has_more and epoch != self.view.table.epoch:
            self.schedule.extra_probes.add_gossip_probes(1)
        return self._follow_up(outcome, now_ms)

    def on_failure(
        self,
        probe_id: int,
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
        outcome = self.prober.record_failure(probe_id, now_ms, refused=refused)
        return self._follow_up(outcome, now_ms)

    def relay(self, name: str, now_ms: float) -> SendProbe | None:
        """Probe a member for another daemon, none if it is unknown."""
        target = self.view.table.get(name)
        if target is None or self.prober.is_full:
            return None
        return self.prober.send_gossip(target, now_ms)

    def on_unreachable(self, name: str) -> None:
        """Take a hint, for instance of a failed sub-query, and verify it."""
        known = self.view.table.get(name)
        if known is not None and known.state is MemberStatus.ALIVE:
            suspicion = known.with_state(MemberStatus.SUSPECT)
            self.schedule.extra_probes.add_claim(suspicion)

    def set_seeds(self, seeds: Iterable[Member]) -> None:
        """Take what the lagging VM list shows, as addresses to try."""
        own_name = self.view.local.name
        self.schedule.seeds = {
            seed.name: seed for seed in seeds if seed.name != own_name
        }

    def _apply_claims(self, claims: Iterable[Member], now_ms: float) -> None:
        local_member = self.view.local_member
        refutations = local_member.refutations
        for claim in self.view.apply_claims(claims, now_ms):
            self.schedule.extra_probes.add_claim(claim)
        if local_member.refutations > refutations:
            self.prober.health.degrade()
            self.schedule.extra_probes.add_gossip_probes(
                self.policy.gossip_fanout
            )
        self.schedule.add_new_members()

    def _follow_up(
        self,
        outcome: ProbeOutcome,
        now_ms: float,
    ) -> tuple[SendProbe, ...]:
        if outcome.is_newly_suspected:
            self.schedule.extra_probes.add_gossip_probes(
                self.policy.gossip_fanout
            )
        return (*outcome.probes, *self.schedule.take_extra_probes(now_ms))

    def _handle_step_lag(self, now_ms: float) -> None:
        last_step_ms = self._last_step_ms
        self._last_step_ms = now_ms
        if (
            last_step_ms is None
            or now_ms - last_step_ms <= self.policy.max_step_lag_ms
        ):
            return
        self.prober.discard_outstanding()
        self.view.timers.extend_suspicions(now_ms - last_step_ms)
        self.prober.health.degrade()


def membership(
    local: Member,
    policy: MembershipPolicy,
    rng: random.Random,
) -> Membership:
    """Build the controller of the daemon that `local` describes."""
    view = fleet_view(local, policy)
    prober = Prober(
        policy=policy,
        view=view,
        health=LocalHealth(),
        rng=rng,
    )
    schedule = ProbeSchedule(
        extra_probes=ExtraProbes(policy=policy),
        policy=policy,
        view=view,
        prober=prober,
        rng=rng,
        probe_order=ProbeOrder(own_name=local.name, rng=rng),
    )
    return Membership(
        policy=policy,
        view=view,
        rng=rng,
        prober=prober,
        schedule=schedule,
    )
