"""What a daemon believes of the fleet."""

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
    """The members, the suspicions that run, and the news to pass on.

    Attributes:
        policy: times and bounds.
        standing: this daemon's word about itself.
        table: all members, this daemon among them.
        timers: of suspect and dead members.
    """

    policy: MembershipPolicy
    local_member: LocalMember
    table: MemberTable = attrs.field(factory=MemberTable)
    timers: SuspicionTimers = attrs.field(factory=SuspicionTimers)
    _gossip: GossipQueue = attrs.field(factory=GossipQueue)
    _changes: list[MemberChange] = attrs.field(factory=list)

    @property
    def local(self) -> Member:
        """This daemon's word about itself."""
        return self.local_member.record

    def update_local(self, local: Member) -> None:
        """Say something new of this daemon, and pass it on."""
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
        """Take in what another daemon believes.

        Returns:
            Claims about members to verify.
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
        """Take in the word of a member that answered this daemon."""
        known = self.table.get(sender.name)
        if known is None or sender.incarnation >= known.incarnation:
            self._store(sender, now_ms)

    def apply_probe(self, sender: Member, now_ms: float) -> None:
        """Take in the word of a member that asked this daemon.

        It shows that others reach this daemon, not that others reach the
        sender: that does not clear a suspicion.
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
        """Suspect a member that neither this daemon nor a relay reached.

        Returns:
            Whether that is news to this daemon.
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
        """Bury suspects whose time is over, forget the long dead."""
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
        """Give what `peer` should hear, first of all what is said of it.

        Args:
            peer: who will hear it.
            heard: what it has just told, not to be told back.
            digests: of its table; if equal to this one's, it knows all news.
        """
        matching = _matching_names(self.table, received)
        max_transmissions = self.policy.max_transmissions(self.table.live_count)
        if digests == self.table.digests:
            self._gossip.record_all_known(
                self.policy.agreement_weight, max_transmissions
            )
            return _claims_about(self.table, peer)
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
        return (*_claims_about(self.table, peer), *updates)

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Give the changes since the last time."""
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


def _claims_about(table: MemberTable, peer: Member) -> tuple[Member, ...]:
    """Give what a member should hear of itself, if anything."""
    known = table.get(peer.name)
    if known is None:
        return ()
    if known.is_suspect_or_dead or known.incarnation > peer.incarnation:
        return (known,)
    return ()


def _matching_names(table: MemberTable, received: Iterable[Member]) -> set[str]:
    matching = set()
    for claim in received:
        known = table.get(claim.name)
        if (
            known is not None
            and known.without_config_version == claim.without_config_version
        ):
            matching.add(claim.name)
    return matching
