"""Takes facts from the store to the board."""

import functools
from collections.abc import Iterable
from typing import Any

import attrs

from fennelfork_daemon.routes._board import RouteBoard
from fennelfork_daemon.routes._facts import (
    ConfigFact,
    Fact,
    MemberFact,
    MemberGoneFact,
    ServerFact,
    ServerGoneFact,
    SuspicionFact,
    SuspicionGoneFact,
    UnreadableFact,
)
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._store_reporter import StoreReporter


@attrs.frozen(kw_only=True)
class FactTaker:
    """Writes what the store tells onto the board."""

    board: RouteBoard
    reporter: StoreReporter
    _pools: ServerPools

    def take_all(self, facts: Iterable[Fact], told_age_ms: float) -> None:
        """Take all facts there are; what is not among them is gone.

        Args:
            facts: all of them.
            told_age_ms: since the store last told anything.
        """
        known = tuple(facts)
        self.board.quarantine.exchange.reconcile(
            (
                fact.record.fingerprint
                for fact in known
                if isinstance(fact, SuspicionFact)
            ),
            told_age_ms,
        )
        servers = [
            fact.server.instance
            for fact in known
            if isinstance(fact, ServerFact)
        ]
        members = [
            fact.member.name for fact in known if isinstance(fact, MemberFact)
        ]
        for instance in self.board.directory.retain(servers):
            self.reporter.server_gone(instance)
        for name in self.board.members.retain(members):
            self.reporter.member_gone(name)
        self.take(known)

    def take(self, facts: Iterable[Fact]) -> None:
        """Take facts in their order."""
        for fact in facts:
            _take(fact, self)
        self.board.fleet.record_size(len(self.board.members.entries))
        runs = self.board.directory.incarnations
        self.board.states.keep(runs)
        self._pools.keep(runs)


@functools.singledispatch
def _take(fact: Any, taker: FactTaker) -> None:
    """Take one fact.

    Raises:
        TypeError: for a fact of another type.
    """
    raise TypeError(f'not a fact: {fact!r}')


@_take.register
def _take_config(fact: ConfigFact, taker: FactTaker) -> None:
    board = taker.board
    before = 0 if board.table is None else board.table.version
    if fact.table.version <= before:
        # Versions only rise: an older one may come late from the store.
        return
    board.table = fact.table
    board.shares.services = fact.table.services
    limits = fact.table.limits
    board.limits.header_bytes = limits.header_bytes
    board.limits.request_read_ms = limits.header_ms
    board.limits.idle_ms = limits.idle_ms
    taker.reporter.config_taken(fact.table, before)


@_take.register
def _take_server(fact: ServerFact, taker: FactTaker) -> None:
    if taker.board.directory.is_outdated(fact.server):
        return
    before = taker.board.directory.put(fact.server)
    taker.reporter.server_seen(fact.server, before)


@_take.register
def _take_server_gone(fact: ServerGoneFact, taker: FactTaker) -> None:
    if taker.board.directory.remove(fact.instance):
        taker.reporter.server_gone(fact.instance)


@_take.register
def _take_member(fact: MemberFact, taker: FactTaker) -> None:
    name = fact.member.name
    if taker.board.members.put(name, fact.member) is None:
        taker.reporter.member_seen(fact.member)


@_take.register
def _take_member_gone(fact: MemberGoneFact, taker: FactTaker) -> None:
    if taker.board.members.remove(fact.name):
        taker.reporter.member_gone(fact.name)


@_take.register
def _take_suspicion(fact: SuspicionFact, taker: FactTaker) -> None:
    exchange = taker.board.quarantine.exchange
    status = exchange.apply_record(fact.record, fact.revision)
    if status is not None:
        taker.reporter.request_judged(fact.record, status)


@_take.register
def _take_suspicion_gone(fact: SuspicionGoneFact, taker: FactTaker) -> None:
    taker.board.quarantine.exchange.discard(fact.fingerprint)


@_take.register
def _take_unreadable(fact: UnreadableFact, taker: FactTaker) -> None:
    taker.reporter.unreadable(fact)
    if taker.board.directory.discard(fact.instance):
        taker.reporter.server_gone(fact.instance)
    if taker.board.members.discard(fact.member):
        taker.reporter.member_gone(fact.member)
