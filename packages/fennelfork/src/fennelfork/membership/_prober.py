"""Reaching one member: directly, then through relays, then accusing it."""

import enum
import random

import attrs

from fennelfork.membership._health import LocalHealth
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._messages import (
    ProbeAnswer,
    ProbeMessage,
    SendProbe,
)
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._view import FleetView


@enum.unique
class _Kind(enum.Enum):
    DIRECT = 'direct'
    RELAYED = 'relayed'
    NEWS = 'news'


@attrs.define(kw_only=True)
class _Round:
    """One attempt to reach a member by all ways.

    Attributes:
        target: name of the member.
        incarnation: the one that is to be accused.
        rumoured: whether another daemon already failed to reach it.
        pending: relays that have not reported.
    """

    target: str
    incarnation: int
    rumoured: bool = False
    pending: int = 0


@attrs.frozen(kw_only=True)
class _Call:
    kind: _Kind
    deadline_ms: float
    probe_round: _Round


@attrs.frozen(kw_only=True)
class Outcome:
    """What follows from the result of a call.

    Attributes:
        accused: whether a member is now suspected that was not before.
        sends: further probes to make.
    """

    accused: bool = False
    sends: tuple[SendProbe, ...] = ()


@attrs.define(kw_only=True)
class Prober:
    """Keeps the outstanding calls and draws conclusions from them."""

    policy: MembershipPolicy
    view: FleetView
    health: LocalHealth
    _rng: random.Random
    _calls: dict[int, _Call] = attrs.field(factory=dict)
    _last_call: int = 0

    @property
    def is_telling(self) -> bool:
        """Whether a call that only carries news is outstanding."""
        return any(call.kind is _Kind.NEWS for call in self._calls.values())

    @property
    def is_full(self) -> bool:
        """Whether no further call may be made now."""
        return len(self._calls) >= self.policy.calls_limit

    def direct(self, target: Member, now_ms: float) -> SendProbe:
        """Probe a member; if it stays silent, try relays."""
        return self._send(_Kind.DIRECT, target, _round(target), now_ms)

    def verify(self, claim: Member, now_ms: float) -> SendProbe | None:
        """Probe a member that another daemon doubts, and tell it so.

        Returns:
            None if the claim is overtaken by what is known.
        """
        known = self.view.table.get(claim.name)
        if known is None or known.incarnation > claim.incarnation:
            return None
        if known.state is MemberStatus.DEAD:
            return None
        rumoured = attrs.evolve(_round(known), rumoured=True)
        return self._send(_Kind.DIRECT, known, rumoured, now_ms, claim)

    def news(self, target: Member, now_ms: float) -> SendProbe:
        """Call a member to pass on news; silence means nothing."""
        return self._send(_Kind.NEWS, target, _round(target), now_ms)

    def forgive(self) -> None:
        """Draw no conclusion from the calls that are outstanding."""
        self._calls.clear()

    def answered(
        self, call: int, answer: ProbeAnswer, now_ms: float
    ) -> Outcome:
        """Conclude from an answer; its gossip is not looked at here."""
        settled = self._calls.pop(call, None)
        if settled is None:
            return Outcome()
        self.health.better()
        if _is_other(settled, answer):
            return self._direct_failed(settled.probe_round, now_ms, True)
        if settled.kind is _Kind.RELAYED and not answer.reached:
            return self._relay_failed(settled.probe_round, now_ms)
        return Outcome()

    def failed(self, call: int, now_ms: float, *, refused: bool) -> Outcome:
        """Conclude from a call that was refused or not answered in time."""
        settled = self._calls.pop(call, None)
        if settled is None:
            return Outcome()
        if now_ms > settled.deadline_ms + self.policy.lag_ms:
            self.health.worse()
            return Outcome()
        if settled.kind is _Kind.DIRECT:
            return self._direct_failed(settled.probe_round, now_ms, refused)
        if settled.kind is _Kind.RELAYED:
            # A relay reports in time even of a member it does not reach.
            self.health.worse()
            return self._relay_failed(settled.probe_round, now_ms)
        return Outcome()

    def _direct_failed(
        self,
        probe_round: _Round,
        now_ms: float,
        refused: bool,
    ) -> Outcome:
        if refused or probe_round.rumoured:
            return self._accuse(probe_round, now_ms)
        relays = _relays(self.view, probe_round.target)
        if not relays:
            return self._accuse(probe_round, now_ms)
        count = min(self.policy.relays, len(relays))
        relays = self._rng.sample(relays, count)
        probe_round.pending = count
        sends = [
            self._send(_Kind.RELAYED, relay, probe_round, now_ms)
            for relay in relays
        ]
        return Outcome(sends=tuple(sends))

    def _relay_failed(self, probe_round: _Round, now_ms: float) -> Outcome:
        probe_round.pending -= 1
        if probe_round.pending:
            return Outcome()
        return self._accuse(probe_round, now_ms)

    def _accuse(self, probe_round: _Round, now_ms: float) -> Outcome:
        accused = self.view.accuse(
            probe_round.target,
            probe_round.incarnation,
            now_ms,
        )
        return Outcome(accused=accused)

    def _send(
        self,
        kind: _Kind,
        to: Member,
        probe_round: _Round,
        now_ms: float,
        claim: Member | None = None,
    ) -> SendProbe:
        relayed = kind is _Kind.RELAYED
        timeout_ms = self.policy.probe_timeout_ms * self.health.factor
        if relayed:
            timeout_ms += self.policy.relay_extra_ms
        self._last_call += 1
        self._calls[self._last_call] = _Call(
            kind=kind,
            deadline_ms=now_ms + timeout_ms,
            probe_round=probe_round,
        )
        gossip = self.view.news_for(to)
        return SendProbe(
            call=self._last_call,
            to=to,
            timeout_ms=timeout_ms,
            message=ProbeMessage(
                sender=self.view.me,
                gossip=gossip if claim is None else (claim, *gossip),
                digests=self.view.table.digests,
                relay_to=probe_round.target if relayed else None,
            ),
        )


def _round(target: Member) -> _Round:
    return _Round(target=target.name, incarnation=target.incarnation)


def _is_other(call: _Call, answer: ProbeAnswer) -> bool:
    """Tell whether another daemon now has the address that was probed."""
    if call.kind is not _Kind.DIRECT:
        return False
    return answer.sender.name != call.probe_round.target


def _relays(view: FleetView, target: str) -> list[Member]:
    return [
        member
        for member in view.table
        if member.state is MemberStatus.ALIVE
        and member.name not in {target, view.me.name}
    ]
