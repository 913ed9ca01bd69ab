"""Membership controller: failure detection by probes, updates by gossip.

Each daemon probes one member per period, whatever the size of the fleet. A
member that does not acknowledge is probed through relays, then suspected,
then declared dead. Updates travel on probes and acknowledgements. The
controller does no I/O: an adapter sends each `SendProbe` and reports the
result.
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
    """Results of a received probe.

    Attributes:
        ack: acknowledgement to return to the sender.
        probes: probes to send.
    """

    ack: ProbeAck
    probes: tuple[SendProbe, ...]


@attrs.define(kw_only=True)
class Membership:
    """Membership controller of one daemon.

    The adapter calls `step` several times per period and sends the probes that
    each method returns.

    Attributes:
        policy: times and limits.
        view: known members and pending updates.
        prober: outstanding probes.
        schedule: targets and times of probes.
    """

    policy: MembershipPolicy
    view: FleetView
    prober: Prober
    schedule: ProbeSchedule
    _rng: random.Random
    _last_step_ms: float | None = None

    @property
    def health(self) -> LocalHealth:
        """The local health score."""
        return self.prober.health

    def step(self, now_ms: float) -> tuple[SendProbe, ...]:
        """Handle expired timers at `now_ms` and return the due probes."""
        self._handle_step_lag(now_ms)
        self.view.handle_timers(now_ms)
        return self.schedule.take_due_probes(now_ms)

    def on_probe(self, message: ProbeMessage, now_ms: float) -> ProbeEffects:
        """Apply a probe of another daemon."""
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
        """Apply the acknowledgement of a `SendProbe`."""
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
        """Handle a `SendProbe` without an acknowledgement.

        Args:
            probe_id: number of the probe.
            now_ms: time of the failure.
            refused: whether the address refused the connection, which proves
                that no process listens there.
        """
        outcome = self.prober.record_failure(probe_id, now_ms, refused=refused)
        return self._follow_up(outcome, now_ms)

    def relay(self, name: str, now_ms: float) -> SendProbe | None:
        """Probe a member for another daemon; none for an unknown member."""
        target = self.view.table.get(name)
        if target is None or self.prober.is_full:
            return None
        return self.prober.send_gossip(target, now_ms)

    def on_unreachable(self, name: str) -> None:
        """Verify a member that another component failed to reach."""
        known = self.view.table.get(name)
        if known is not None and known.state is MemberStatus.ALIVE:
            suspicion = known.with_state(MemberStatus.SUSPECT)
            self.schedule.extra_probes.add_claim(suspicion)

    def set_seeds(self, seeds: Iterable[Member]) -> None:
        """Replace the seeds with members from the VM list."""
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
    """Build the membership controller of the daemon with the record `local`."""
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
