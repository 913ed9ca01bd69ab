"""The local daemon's view of the fleet."""

from collections.abc import Iterable

import attrs

from fennelfork.membership._claims import evaluate_claim
from fennelfork.membership._gossip import GossipQueue
from fennelfork.membership._local_member import LocalMember
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._member_table import MemberTable
from fennelfork.membership._messages import MemberChange
from fennelfork.membership._policy import MembershipPolicy
from fennelfork.membership._timers import SuspicionTimers


@attrs.define(kw_only=True)
class FleetView:
    """Known members, running suspicions and pending gossip.

    Attributes:
        policy: times and limits.
        local_member: record of the local daemon and its refutations.
        table: all members, including the local daemon.
        timers: timers of suspect and dead members.
    """

    policy: MembershipPolicy
    local_member: LocalMember
    table: MemberTable = attrs.field(factory=MemberTable)
    timers: SuspicionTimers = attrs.field(factory=SuspicionTimers)
    _gossip: GossipQueue = attrs.field(factory=GossipQueue)
    _changes: list[MemberChange] = attrs.field(factory=list)

    @property
    def local(self) -> Member:
        """The record of the local daemon."""
        return self.local_member.record

    def update_local(self, local: Member) -> None:
        """Replace the record of the local daemon and gossip a change."""
        known = self.table.get(local.name)
        self.local_member.record = local
        self.table.put(local)
        if (
            known is None
            or known.without_config_version != local.without_config_version
        ):
            self._gossip.add(local.name)

    def apply_claims(
        self,
        claims: Iterable[Member],
        now_ms: float,
    ) -> list[Member]:
        """Apply the claims of another daemon.

        Returns:
            Claims to verify by a probe.
        """
        to_verify = []
        for claim in claims:
            if claim.name == self.local.name:
                if self.local_member.apply_claim(claim, now_ms):
                    self.update_local(self.local)
                continue
            decision = evaluate_claim(self.table.get(claim.name), claim)
            if decision.store is not None:
                self._store(decision.store, now_ms)
            if decision.verify:
                to_verify.append(claim)
        return to_verify

    def apply_ack(self, sender: Member, now_ms: float) -> None:
        """Store the record of a member that acknowledged a probe."""
        known = self.table.get(sender.name)
        if known is None or sender.incarnation >= known.incarnation:
            self._store(sender, now_ms)

    def apply_probe(self, sender: Member, now_ms: float) -> None:
        """Apply the record of a member that sent a probe.

        A received probe shows that the local daemon is reachable. It does not
        show that the sender is, so it does not clear a suspicion.
        """
        self.local_member.record_probe(now_ms)
        known = self.table.get(sender.name)
        if known is None or sender.incarnation > known.incarnation:
            self._store(sender, now_ms)
            return
        if sender.incarnation < known.incarnation:
            return
        if not known.is_suspect_or_dead or sender.state is MemberStatus.DEAD:
            self._store(sender, now_ms)

    def suspect_member(
        self, name: str, incarnation: int, now_ms: float
    ) -> bool:
        """Suspect a member after failed direct and indirect probes.

        Returns:
            Whether the member was alive before.
        """
        known = self.table.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        if known.state is MemberStatus.ALIVE:
            self._store(known.with_state(MemberStatus.SUSPECT), now_ms)
            return True
        if known.state is MemberStatus.LEAVING:
            self._start_suspicion(name, now_ms)
        return False

    def handle_timers(self, now_ms: float) -> None:
        """Declare expired suspects dead and remove long-dead members."""
        for name in self.timers.take_expired_suspects(now_ms):
            known = self.table.get(name)
            if known is not None:
                self._store(known.with_state(MemberStatus.DEAD), now_ms)
        died_before_ms = now_ms - self.policy.dead_retention_ms
        for expired_name in self.timers.take_expired_dead(died_before_ms):
            self.table.remove(expired_name)

    def updates_for(
        self,
        peer: Member,
        received: Iterable[Member] = (),
        digests: bytes = b'',
    ) -> tuple[Member, ...]:
        """Return the updates for a peer, claims about the peer first.

        Args:
            peer: receiver of the updates.
            received: updates from the peer, which are not sent back.
            digests: digests of the peer's table; equal digests show that the
                peer knows all pending updates.
        """
        matching = _find_matching_names(self.table, received)
        max_transmissions = self.policy.max_transmissions(self.table.live_count)
        if digests == self.table.digests:
            self._gossip.record_all_known(
                self.policy.agreement_weight, max_transmissions
            )
            return _find_claims_about(self.table, peer)
        self._gossip.record_known(
            matching, self.policy.agreement_weight, max_transmissions
        )
        names = self._gossip.take_names(
            self.policy.max_gossip_updates,
            max_transmissions,
            {peer.name} | matching,
        )
        records = [self.table.get(name) for name in names]
        updates = [record for record in records if record is not None]
        return (*_find_claims_about(self.table, peer), *updates)

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Remove and return the changes since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def _store(self, member: Member, now_ms: float) -> None:
        known = self.table.get(member.name)
        if known == member:
            return
        self.table.put(member)
        self._set_timer(member, now_ms)
        if (
            known is None
            or known.without_config_version != member.without_config_version
        ):
            self._gossip.add(member.name)
            self._changes.append(MemberChange(before=known, after=member))

    def _set_timer(self, member: Member, now_ms: float) -> None:
        if member.state is MemberStatus.SUSPECT:
            self._start_suspicion(member.name, now_ms)
        elif member.state is MemberStatus.DEAD:
            self.timers.record_death(member.name, now_ms)
        else:
            self.timers.clear(member.name)

    def _start_suspicion(self, name: str, now_ms: float) -> None:
        timeout_ms = self.policy.suspicion_timeout_ms(self.table.live_count)
        self.timers.start_suspicion(name, now_ms + timeout_ms)


def fleet_view(local: Member, policy: MembershipPolicy) -> FleetView:
    """Build the view of a daemon that knows only itself."""
    local_member = LocalMember(record=local, policy=policy)
    view = FleetView(policy=policy, local_member=local_member)
    view.update_local(local)
    return view


def _find_claims_about(table: MemberTable, peer: Member) -> tuple[Member, ...]:
    """Return the claim that a member has to refute or adopt, if any."""
    known = table.get(peer.name)
    if known is None:
        return ()
    if known.is_suspect_or_dead or known.incarnation > peer.incarnation:
        return (known,)
    return ()


def _find_matching_names(
    table: MemberTable, received: Iterable[Member]
) -> set[str]:
    matching = set()
    for claim in received:
        known = table.get(claim.name)
        if (
            known is not None
            and known.without_config_version == claim.without_config_version
        ):
            matching.add(claim.name)
    return matching
