"""Reaching one member: directly, then through relays, then accusing it."""

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
    """One attempt to reach a member by all ways.

    Attributes:
        target: name of the member.
        incarnation: the one that is to be accused.
        rumoured: whether another daemon already failed to reach it.
        pending: relays that have not reported.
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
    """What follows from the result of a call.

    Attributes:
        accused: whether a member is now suspected that was not before.
        sends: further probes to make.
    """

    is_newly_suspected: bool = False
    probes: tuple[SendProbe, ...] = ()


@attrs.define(kw_only=True)
class Prober:
    """Keeps the outstanding calls and draws conclusions from them."""

    policy: MembershipPolicy
    view: FleetView
    health: LocalHealth
    _rng: random.Random
    _outstanding: dict[int, _OutstandingProbe] = attrs.field(factory=dict)
    _last_probe_id: int = 0

    @property
    def has_gossip_outstanding(self) -> bool:
        """Whether a call that only carries news is outstanding."""
        return any(
            probe.kind is _ProbeKind.GOSSIP
            for probe in self._outstanding.values()
        )

    @property
    def is_full(self) -> bool:
        """Whether no further call may be made now."""
        return len(self._outstanding) >= self.policy.max_outstanding_probes

    def probe_directly(self, target: Member, now_ms: float) -> SendProbe:
        """Probe a member; if it stays silent, try relays."""
        return self._send(_ProbeKind.DIRECT, target, _new_round(target), now_ms)

    def verify_claim(self, claim: Member, now_ms: float) -> SendProbe | None:
        """Probe a member that another daemon doubts, and tell it so.

        Returns:
            None if the claim is overtaken by what is known.
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
        """Call a member to pass on news; silence means nothing."""
        return self._send(_ProbeKind.GOSSIP, target, _new_round(target), now_ms)

    def discard_outstanding(self) -> None:
        """Draw no conclusion from the calls that are outstanding."""
        self._outstanding.clear()

    def record_ack(
        self, probe_id: int, ack: ProbeAck, now_ms: float
    ) -> ProbeOutcome:
        """Conclude from an answer; its gossip is not looked at here."""
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
        """Conclude from a call that was refused or not answered in time."""
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
            # A relay reports in time even of a member it does not reach.
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
        relays = _relays(self.view, probe_round.target)
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
    """Tell whether another daemon now has the address that was probed."""
    if probe.kind is not _ProbeKind.DIRECT:
        return False
    return ack.sender.name != probe.probe_round.target


def _relays(view: FleetView, target: str) -> list[Member]:
    return [
        member
        for member in view.table
        if member.state is MemberStatus.ALIVE
        and member.name not in {target, view.local.name}
    ]
