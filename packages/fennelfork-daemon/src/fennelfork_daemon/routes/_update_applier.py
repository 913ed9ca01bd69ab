"""Applies updates from the store to the blackboard of the daemon."""

import functools
from collections.abc import Iterable
from typing import Any

import attrs

from fennelfork.membership import limit_divisor
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._evacuation_control import EvacuationControl
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._updates import (
    ConfigUpdate,
    EvacuationRemoved,
    EvacuationUpdate,
    InvalidEntry,
    MemberRemoved,
    MemberUpdate,
    ServerRemoved,
    ServerUpdate,
    StoreUpdate,
    SuspicionRemoved,
    SuspicionUpdate,
)


@attrs.frozen(kw_only=True)
class UpdateApplier:
    """Applies updates from the store to the blackboard.

    Attributes:
        blackboard: facts that the components of the daemon share.
        reporter: log of the applied updates.
        evacuations: evacuations that operators request.
    """

    blackboard: RouteBlackboard
    reporter: StoreReporter
    evacuations: EvacuationControl
    _pools: ServerPools

    def apply_listing(
        self, updates: Iterable[StoreUpdate], data_age_ms: float
    ) -> None:
        """Apply a complete listing and remove every entry that it lacks.

        Args:
            updates: one update for each entry of the store.
            data_age_ms: time since the last update from the store.
        """
        listed = tuple(updates)
        self.blackboard.own_entry = None
        self.blackboard.quarantine.exchange.reconcile(
            (
                update.record.fingerprint
                for update in listed
                if isinstance(update, SuspicionUpdate)
            ),
            data_age_ms,
        )
        servers = [
            update.server.instance
            for update in listed
            if isinstance(update, ServerUpdate)
        ]
        members = [
            update.member.name
            for update in listed
            if isinstance(update, MemberUpdate)
        ]
        evacuated = [
            update.data_centre
            for update in listed
            if isinstance(update, EvacuationUpdate)
        ]
        self.evacuations.retain(evacuated)
        for instance in self.blackboard.directory.retain(servers):
            self.reporter.server_removed(instance)
        for name in self.blackboard.members.retain(members):
            self.reporter.daemon_removed(name)
        self.apply(listed)

    def apply(self, updates: Iterable[StoreUpdate]) -> None:
        """Apply updates in the given order."""
        for update in updates:
            _apply_update(update, self)
        members = self.blackboard.members.entries
        self.blackboard.fleet_size.record(len(members))
        self.blackboard.limit_divisor.record(
            limit_divisor(self.blackboard.local, members.values())
        )
        incarnations = self.blackboard.directory.incarnations
        self.blackboard.states.retain(incarnations)
        self._pools.close_all_except(incarnations)


@functools.singledispatch
def _apply_update(update: Any, applier: UpdateApplier) -> None:
    """Apply one update.

    Raises:
        TypeError: if the update has an unknown type.
    """
    raise TypeError(f'unknown type of store update: {update!r}')


@_apply_update.register
def _apply_config(update: ConfigUpdate, applier: UpdateApplier) -> None:
    blackboard = applier.blackboard
    previous = 0 if blackboard.table is None else blackboard.table.version
    if update.table.version <= previous:
        # An update with an older version was delayed and is outdated.
        return
    blackboard.table = update.table
    blackboard.shares.services = update.table.services
    blackboard.cold_limits.services = update.table.services
    limits = update.table.limits
    blackboard.limits.header_bytes = limits.header_bytes
    blackboard.limits.request_read_ms = limits.header_ms
    blackboard.limits.idle_ms = limits.idle_ms
    applier.reporter.config_applied(update.table, previous)


@_apply_update.register
def _apply_server(update: ServerUpdate, applier: UpdateApplier) -> None:
    if applier.blackboard.directory.is_outdated(update.server):
        return
    previous = applier.blackboard.directory.put(update.server)
    applier.reporter.server_registered(update.server, previous)


@_apply_update.register
def _remove_server(update: ServerRemoved, applier: UpdateApplier) -> None:
    if applier.blackboard.directory.remove(update.instance):
        applier.reporter.server_removed(update.instance)


@_apply_update.register
def _apply_member(update: MemberUpdate, applier: UpdateApplier) -> None:
    name = update.member.name
    if name == applier.blackboard.local.name:
        applier.blackboard.own_entry = update
    if applier.blackboard.members.put(name, update.member) is None:
        applier.reporter.daemon_registered(update.member)


@_apply_update.register
def _remove_member(update: MemberRemoved, applier: UpdateApplier) -> None:
    if update.name == applier.blackboard.local.name:
        applier.blackboard.own_entry = None
    if applier.blackboard.members.remove(update.name):
        applier.reporter.daemon_removed(update.name)


@_apply_update.register
def _start_evacuation(update: EvacuationUpdate, applier: UpdateApplier) -> None:
    applier.evacuations.start(update.data_centre)


@_apply_update.register
def _end_evacuation(update: EvacuationRemoved, applier: UpdateApplier) -> None:
    applier.evacuations.end(update.data_centre)


@_apply_update.register
def _apply_suspicion(update: SuspicionUpdate, applier: UpdateApplier) -> None:
    exchange = applier.blackboard.quarantine.exchange
    status = exchange.apply_record(update.record, update.revision)
    suspicion = exchange.table.find(update.record.fingerprint)
    own_lease = applier.blackboard.entry_lease
    if suspicion and own_lease and update.lease == own_lease:
        # The earlier process of this daemon can no longer remove the entry.
        suspicion.is_own = True
    if status is not None:
        applier.reporter.request_status_changed(update.record, status)


@_apply_update.register
def _remove_suspicion(update: SuspicionRemoved, applier: UpdateApplier) -> None:
    applier.blackboard.quarantine.exchange.discard(update.fingerprint)


@_apply_update.register
def _reject_entry(update: InvalidEntry, applier: UpdateApplier) -> None:
    applier.reporter.entry_rejected(update)
    if applier.blackboard.directory.discard(update.instance):
        applier.reporter.server_removed(update.instance)
    if applier.blackboard.members.discard(update.member):
        applier.reporter.daemon_removed(update.member)
