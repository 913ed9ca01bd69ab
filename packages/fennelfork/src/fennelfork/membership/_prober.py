"""Failure detection: direct probes, indirect probes and suspicion."""

import enum
import random

import attrs

from fennelfork.membership._health import LocalHealth
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._messages import (
    ProbeAck,
    ProbeMessage,
    SendProbe,
)
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._view import FleetView


@enum.unique
class _ProbeKind(enum.Enum):
    DIRECT = 'direct'
    RELAYED = 'relayed'
    GOSSIP = 'news'


@attrs.define(kw_only=True)
class _ProbeRound:
    """Direct and indirect probes of one member.

    Attributes:
        target: name of the member.
        incarnation: incarnation to suspect after a failure.
        is_reported: whether another daemon already failed to reach the member.
        pending: number of relays without a report.
    """

    target: str
    incarnation: int
    is_reported: bool = False
    pending: int = 0


@attrs.frozen(kw_only=True)
class _OutstandingProbe:
    kind: _ProbeKind
    deadline_ms: float
    probe_round: _ProbeRound


@attrs.frozen(kw_only=True)
class ProbeOutcome:
    """Results of a finished probe.

    Attributes:
        is_newly_suspected: whether the member became suspect.
        probes: further probes to send.
    """

    is_newly_suspected: bool = False
    probes: tuple[SendProbe, ...] = ()


@attrs.define(kw_only=True)
class Prober:
    """Outstanding probes and the conclusions from their results."""

    policy: MembershipPolicy
    view: FleetView
    health: LocalHealth
    _rng: random.Random
    _outstanding: dict[int, _OutstandingProbe] = attrs.field(factory=dict)
    _last_probe_id: int = 0

    @property
    def has_gossip_outstanding(self) -> bool:
        """Whether a probe that only carries gossip is outstanding."""
        return any(
            probe.kind is _ProbeKind.GOSSIP
            for probe in self._outstanding.values()
        )

    @property
    def is_full(self) -> bool:
        """Whether the limit on outstanding probes is reached."""
        return len(self._outstanding) >= self.policy.max_outstanding_probes

    def probe_directly(self, target: Member, now_ms: float) -> SendProbe:
        """Probe a member; a failure starts indirect probes through relays."""
        return self._send(_ProbeKind.DIRECT, target, _new_round(target), now_ms)

    def verify_claim(self, claim: Member, now_ms: float) -> SendProbe | None:
        """Probe a suspect member and forward the claim about it.

        Returns:
            None if the claim is older than the known record.
        """
        known = self.view.table.get(claim.name)
        if known is None or known.incarnation > claim.incarnation:
            return None
        if known.state is MemberStatus.DEAD:
            return None
        reported_round = attrs.evolve(_new_round(known), is_reported=True)
        return self._send(
            _ProbeKind.DIRECT, known, reported_round, now_ms, claim
        )

    def send_gossip(self, target: Member, now_ms: float) -> SendProbe:
        """Send gossip to a member; a failure has no consequences."""
        return self._send(_ProbeKind.GOSSIP, target, _new_round(target), now_ms)

    def discard_outstanding(self) -> None:
        """Discard the outstanding probes and ignore their results."""
        self._outstanding.clear()

    def record_ack(
        self, probe_id: int, ack: ProbeAck, now_ms: float
    ) -> ProbeOutcome:
        """Handle an acknowledgement, apart from its gossip."""
        finished = self._outstanding.pop(probe_id, None)
        if finished is None:
            return ProbeOutcome()
        self.health.improve()
        if _is_from_other_daemon(finished, ack):
            return self._handle_direct_failure(
                finished.probe_round, now_ms, True
            )
        if finished.kind is _ProbeKind.RELAYED and not ack.reached:
            return self._handle_relay_failure(finished.probe_round, now_ms)
        return ProbeOutcome()

    def record_failure(
        self, probe_id: int, now_ms: float, *, refused: bool
    ) -> ProbeOutcome:
        """Handle a probe that was refused or timed out."""
        finished = self._outstanding.pop(probe_id, None)
        if finished is None:
            return ProbeOutcome()
        if now_ms > finished.deadline_ms + self.policy.max_step_lag_ms:
            self.health.degrade()
            return ProbeOutcome()
        if finished.kind is _ProbeKind.DIRECT:
            return self._handle_direct_failure(
                finished.probe_round, now_ms, refused
            )
        if finished.kind is _ProbeKind.RELAYED:
            # A relay acknowledges even if the target does not respond.
            self.health.degrade()
            return self._handle_relay_failure(finished.probe_round, now_ms)
        return ProbeOutcome()

    def _handle_direct_failure(
        self,
        probe_round: _ProbeRound,
        now_ms: float,
        refused: bool,
    ) -> ProbeOutcome:
        if refused or probe_round.is_reported:
            return self._suspect(probe_round, now_ms)
        relays = _find_relays(self.view, probe_round.target)
        if not relays:
            return self._suspect(probe_round, now_ms)
        count = min(self.policy.relay_count, len(relays))
        relays = self._rng.sample(relays, count)
        probe_round.pending = count
        probes = [
            self._send(_ProbeKind.RELAYED, relay, probe_round, now_ms)
            for relay in relays
        ]
        return ProbeOutcome(probes=tuple(probes))

    def _handle_relay_failure(
        self, probe_round: _ProbeRound, now_ms: float
    ) -> ProbeOutcome:
        probe_round.pending -= 1
        if probe_round.pending:
            return ProbeOutcome()
        return self._suspect(probe_round, now_ms)

    def _suspect(self, probe_round: _ProbeRound, now_ms: float) -> ProbeOutcome:
        is_newly_suspected = self.view.suspect_member(
            probe_round.target,
            probe_round.incarnation,
            now_ms,
        )
        return ProbeOutcome(is_newly_suspected=is_newly_suspected)

    def _send(
        self,
        kind: _ProbeKind,
        target: Member,
        probe_round: _ProbeRound,
        now_ms: float,
        claim: Member | None = None,
    ) -> SendProbe:
        relayed = kind is _ProbeKind.RELAYED
        timeout_ms = self.policy.probe_timeout_ms * self.health.timeout_factor
        if relayed:
            timeout_ms += self.policy.relay_timeout_extra_ms
        self._last_probe_id += 1
        self._outstanding[self._last_probe_id] = _OutstandingProbe(
            kind=kind,
            deadline_ms=now_ms + timeout_ms,
            probe_round=probe_round,
        )
        gossip = self.view.updates_for(target)
        return SendProbe(
            probe_id=self._last_probe_id,
            target=target,
            timeout_ms=timeout_ms,
            message=ProbeMessage(
                sender=self.view.local,
                gossip=gossip if claim is None else (claim, *gossip),
                digests=self.view.table.digests,
                relay_to=probe_round.target if relayed else None,
            ),
        )


def _new_round(target: Member) -> _ProbeRound:
    return _ProbeRound(target=target.name, incarnation=target.incarnation)


def _is_from_other_daemon(probe: _OutstandingProbe, ack: ProbeAck) -> bool:
    """Return whether another daemon now uses the probed address."""
    if probe.kind is not _ProbeKind.DIRECT:
        return False
    return ack.sender.name != probe.probe_round.target


def _find_relays(view: FleetView, target: str) -> list[Member]:
    return [
        member
        for member in view.table
        if member.state is MemberStatus.ALIVE
        and member.name not in {target, view.local.name}
    ]
