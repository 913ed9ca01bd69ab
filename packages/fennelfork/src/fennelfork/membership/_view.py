"""What a daemon believes of the fleet."""

from collections.abc import Iterable

import attrs

from fennelfork.membership._belief import weigh_claim
from fennelfork.membership._gossip import GossipQueue
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.membership._member_table import MemberTable
from fennelfork.membership._messages import MemberChange
from fennelfork.membership._own_standing import OwnStanding
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
    standing: OwnStanding
    table: MemberTable = attrs.field(factory=MemberTable)
    timers: SuspicionTimers = attrs.field(factory=SuspicionTimers)
    _news: GossipQueue = attrs.field(factory=GossipQueue)
    _changes: list[MemberChange] = attrs.field(factory=list)

    @property
    def me(self) -> Member:
        """This daemon's word about itself."""
        return self.standing.me

    def declare(self, me: Member) -> None:
        """Say something new of this daemon, and pass it on."""
        known = self.table.get(me.name)
        self.standing.me = me
        self.table.put(me)
        if known is None or known.essence != me.essence:
            self._news.add(me.name)

    def hear_claims(
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
            if claim.name == self.me.name:
                if self.standing.hear(claim, now_ms):
                    self.declare(self.me)
                continue
            belief = weigh_claim(self.table.get(claim.name), claim)
            if belief.store is not None:
                self._store(belief.store, now_ms)
            if belief.verify:
                to_verify.append(claim)
        return to_verify

    def hear_answer(self, sender: Member, now_ms: float) -> None:
        """Take in the word of a member that answered this daemon."""
        known = self.table.get(sender.name)
        if known is None or sender.incarnation >= known.incarnation:
            self._store(sender, now_ms)

    def hear_probe(self, sender: Member, now_ms: float) -> None:
        """Take in the word of a member that asked this daemon.

        It shows that others reach this daemon, not that others reach the
        sender: that does not clear a suspicion.
        """
        self.standing.note_reached(now_ms)
        known = self.table.get(sender.name)
        if known is None or sender.incarnation > known.incarnation:
            self._store(sender, now_ms)
            return
        if sender.incarnation < known.incarnation:
            return
        if not known.is_doubted or sender.state is MemberStatus.DEAD:
            self._store(sender, now_ms)

    def accuse(self, name: str, incarnation: int, now_ms: float) -> bool:
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
            self._doubt(name, now_ms)
        return False

    def expire(self, now_ms: float) -> None:
        """Bury suspects whose time is over, forget the long dead."""
        for name in self.timers.take_dead(now_ms):
            known = self.table.get(name)
            if known is not None:
                self._store(known.with_state(MemberStatus.DEAD), now_ms)
        long_ago_ms = now_ms - self.policy.forget_ms
        for gone in self.timers.take_forgotten(long_ago_ms):
            self.table.forget(gone)

    def news_for(
        self,
        peer: Member,
        heard: Iterable[Member] = (),
        digests: bytes = b'',
    ) -> tuple[Member, ...]:
        """Give what `peer` should hear, first of all what is said of it.

        Args:
            peer: who will hear it.
            heard: what it has just told, not to be told back.
            digests: of its table; if equal to this one's, it knows all news.
        """
        agreed = _agreed(self.table, heard)
        most = self.policy.tellings(self.table.live_count)
        if digests == self.table.digests:
            self._news.agree_on_all(self.policy.agreement_weight, most)
            return _said_of(self.table, peer)
        self._news.agree(agreed, self.policy.agreement_weight, most)
        names = self._news.take(
            self.policy.gossip_limit,
            most,
            {peer.name} | agreed,
        )
        records = [self.table.get(name) for name in names]
        news = [record for record in records if record is not None]
        return (*_said_of(self.table, peer), *news)

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
        if known is None or known.essence != member.essence:
            self._news.add(member.name)
            self._changes.append(MemberChange(before=known, after=member))

    def _set_timer(self, member: Member, now_ms: float) -> None:
        if member.state is MemberStatus.SUSPECT:
            self._doubt(member.name, now_ms)
        elif member.state is MemberStatus.DEAD:
            self.timers.bury(member.name, now_ms)
        else:
            self.timers.clear(member.name)

    def _doubt(self, name: str, now_ms: float) -> None:
        allowed_ms = self.policy.suspicion_ms(self.table.live_count)
        self.timers.suspect(name, now_ms + allowed_ms)


def fleet_view(me: Member, policy: MembershipPolicy) -> FleetView:
    """Build the view of a daemon that knows only itself."""
    standing = OwnStanding(me=me, policy=policy)
    view = FleetView(policy=policy, standing=standing)
    view.declare(me)
    return view


def _said_of(table: MemberTable, peer: Member) -> tuple[Member, ...]:
    """Give what a member should hear of itself, if anything."""
    known = table.get(peer.name)
    if known is None:
        return ()
    if known.is_doubted or known.incarnation > peer.incarnation:
        return (known,)
    return ()


def _agreed(table: MemberTable, heard: Iterable[Member]) -> set[str]:
    agreed = set()
    for claim in heard:
        known = table.get(claim.name)
        if known is not None and known.essence == claim.essence:
            agreed.add(claim.name)
    return agreed
