"""Model of a store and of daemons that pass on its updates."""

from typing import Any

import attrs
import structlog
from daemon_builders_routes import (
    FollowingDaemon,
    member,
    server,
    table,
)
from daemon_builders_store import STORE_UNAVAILABLE, FakeStore
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, ManualTime
from fennelfork.routes import EncodedUpdate, StorePosition, WatchTimeouts
from fennelfork_daemon._address import Address
from fennelfork_daemon.routes import (
    ConfigUpdate,
    HistoryCompacted,
    Listing,
    MemberRemoved,
    MemberUpdate,
    Relay,
    RelayedBatch,
    ServerRemoved,
    ServerUpdate,
    StoreUpdate,
    UpdateBatch,
)

# Time between two calls of a daemon that gets an empty response.
TICK_MS = 100.0
# Duration of a call that gets no response.
_LOST_STORE_MS = 650.0
_PORT = 7000


@attrs.define(kw_only=True)
class ModelStore:
    """Store with a history of updates.

    Attributes:
        events: updates by revision.
        entries: current entries by name.
        compacted: revision up to which the history is gone.
        copies: entries at each revision.
        era: number that rises when the store is restored.
        calls: number of calls that daemons made.
    """

    events: dict[int, StoreUpdate] = attrs.field(factory=dict)
    entries: dict[str, StoreUpdate] = attrs.field(factory=dict)
    compacted: int = 0
    copies: list[dict[str, StoreUpdate]] = attrs.field(factory=lambda: [{}])
    era: int = 1
    calls: int = 0

    @property
    def revision(self) -> int:
        """Latest revision."""
        return len(self.events)

    def put(self, name: str, update: StoreUpdate) -> None:
        """Write an entry."""
        self.entries[name] = update
        self._record(update)

    def remove(self, name: str, removal: StoreUpdate) -> None:
        """Remove an entry, if it exists."""
        if self.entries.pop(name, None) is not None:
            self._record(removal)

    def restore(self, revision: int) -> None:
        """Return to an earlier revision, in another era."""
        self.copies = self.copies[: revision + 1]
        self.entries = dict(self.copies[revision])
        self.events = {
            known: update
            for known, update in self.events.items()
            if known <= revision
        }
        self.compacted = min(self.compacted, revision)
        self.era += 1

    def list_all(self) -> Listing:
        """Return all entries."""
        return Listing(
            updates=tuple(self.entries.values()), revision=self.revision
        )

    def watch(self, after: int) -> UpdateBatch | HistoryCompacted:
        """Return the updates after a revision."""
        if after < self.compacted or after > self.revision:
            return HistoryCompacted()
        revisions = range(after + 1, self.revision + 1)
        return self.batch(tuple(revisions))

    def batch(self, revisions: tuple[int, ...]) -> UpdateBatch:
        """Return the updates with the given revisions."""
        return UpdateBatch(
            updates=tuple(self.events[revision] for revision in revisions),
            revision=self.revision,
            encoded=tuple(
                EncodedUpdate(revision=revision, text='{}')
                for revision in revisions
            ),
        )

    def _record(self, update: StoreUpdate) -> None:
        """Append an update to the history."""
        self.events[self.revision + 1] = update
        self.copies.append(dict(self.entries))


@attrs.define(kw_only=True)
class ModelDaemon:
    """Daemon of the model, with its connections to the store and to relays.

    Attributes:
        index: number of the daemon, from which its name follows.
        is_cut: whether the store does not answer this daemon.
        is_silent: whether this daemon does not answer other daemons.
        due_ms: time of the next call.
        started_ms: time of the start of the process.
    """

    index: int
    fleet: 'ModelFleet'
    is_cut: bool = False
    is_silent: bool = False
    due_ms: float = 0
    started_ms: float = 0
    call_ms: float = 0
    following: FollowingDaemon = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the process."""
        self.restart()

    @property
    def name(self) -> str:
        """Name of the daemon."""
        return f'vm-{self.index}'

    @property
    def version(self) -> int:
        """Active version of the configuration, 0 for none."""
        active = self.following.blackboard.table
        return 0 if active is None else int(active.version)

    @property
    def relay(self) -> Relay:
        """Part of the daemon that passes on updates."""
        return self.following.follower.store_copy.relay

    @property
    def servers(self) -> set[str]:
        """Known backend servers."""
        directory = self.following.blackboard.directory
        return set(directory.registry.entries)

    def restart(self) -> None:
        """Start a new process that knows nothing."""
        self.following = FollowingDaemon(
            time=self.fleet.time,
            name=self.name,
            peer=Address(host=f'10.0.0.{self.index + 1}', port=_PORT),
            store=_StoreConnection(daemon=self),
            relays=_RelayConnection(daemon=self),
        )
        self.started_ms = self.fleet.time.at_ms
        self.due_ms = self.fleet.time.at_ms

    def step(self) -> None:
        """Make one call, which takes some time."""
        self.call_ms = 0
        delay_ms = self.following.follower.step()
        self.due_ms = (
            self.fleet.time.at_ms + self.call_ms + max(delay_ms, TICK_MS)
        )

    def renew(self) -> None:
        """Record whether the store answers the renewal of a lease."""
        availability = self.following.availability
        if self.is_cut:
            availability.record_failure('lease', STORE_UNAVAILABLE)
        else:
            availability.record_response()


@attrs.define(kw_only=True)
class ModelFleet:
    """Store and daemons of one data centre, in manual time."""

    time: ManualTime = attrs.field(factory=ManualTime)
    store: ModelStore = attrs.field(factory=ModelStore)
    daemons: list[ModelDaemon] = attrs.field(factory=list)

    def start(self, size: int) -> None:
        """Write a configuration and start registered daemons."""
        self.configure(1)
        for index in range(size):
            self.daemons.append(ModelDaemon(index=index, fleet=self))
            self.register(index)

    def configure(self, version: int) -> None:
        """Write a version of the configuration."""
        self.store.put('config', ConfigUpdate(table=table(version)))

    def register(self, index: int) -> None:
        """Write the entry of a daemon."""
        entry = member(f'vm-{index}', peer=f'10.0.0.{index + 1}:{_PORT}')
        self.store.put(entry.name, MemberUpdate(member=entry))

    def unregister(self, index: int) -> None:
        """Remove the entry of a daemon, as after an expired lease."""
        name = f'vm-{index}'
        self.store.remove(name, MemberRemoved(name=name))

    def add_server(self, instance: str) -> None:
        """Write the entry of a backend server."""
        self.store.put(instance, ServerUpdate(server=server(instance)))

    def remove_server(self, instance: str) -> None:
        """Remove the entry of a backend server."""
        self.store.remove(instance, ServerRemoved(instance=instance))

    def advance(self, duration_ms: float) -> None:
        """Let all daemons run for some time."""
        end_ms = self.time.at_ms + duration_ms
        while self.time.at_ms < end_ms:
            for daemon in self.daemons:
                if daemon.due_ms <= self.time.at_ms:
                    daemon.step()
                daemon.renew()
            self.time.advance(TICK_MS)

    def restore(self, lost: int, version: int) -> None:
        """Restore the store, and write again what its copy lacks.

        Args:
            lost: number of the latest changes that the copy lacks.
            version: version of the configuration that is written first.
        """
        before = dict(self.store.entries)
        before.pop('config')
        self.store.restore(max(1, self.store.revision - lost))
        self.configure(version)
        before['config'] = self.store.entries['config']
        for name in self.store.entries.keys() - before.keys():
            self.store.remove(name, _removal(name))
        for name, update in before.items():
            if self.store.entries.get(name) != update:
                self.store.put(name, update)

    def at_peer(self, peer: str) -> ModelDaemon | None:
        """Return the daemon at a peer address."""
        return next(
            (
                daemon
                for daemon in self.daemons
                if f'10.0.0.{daemon.index + 1}:{_PORT}' == peer
            ),
            None,
        )

    def stop(self) -> None:
        """End all daemons."""
        structlog.reset_defaults()


@attrs.define(kw_only=True)
class _StoreConnection(FakeStore):
    """Connection of one daemon to the store."""

    daemon: ModelDaemon

    def list_all(
        self, timeout_ms: float, *, may_be_stale: bool
    ) -> Result[Any, Failure]:
        """List the store."""
        return self._call(self.daemon.fleet.store.list_all)

    def watch(
        self, after: int, timeouts: WatchTimeouts
    ) -> Result[Any, Failure]:
        """Return the updates after a revision without waiting."""
        return self._call(lambda: self.daemon.fleet.store.watch(after))

    def _call(self, answer: Any) -> Result[Any, Failure]:
        self.daemon.fleet.store.calls += 1
        if self.daemon.is_cut:
            self.daemon.call_ms = _LOST_STORE_MS
            return Bad(STORE_UNAVAILABLE)
        if self.era.accept(self.era.number, self.daemon.fleet.store.era):
            return Success(answer())
        return Bad(STORE_UNAVAILABLE)


@attrs.define(kw_only=True)
class _RelayConnection:
    """Connections of one daemon to the other daemons."""

    daemon: ModelDaemon

    def fetch(
        self, peer: str, after: StorePosition, timeouts: WatchTimeouts
    ) -> Result[RelayedBatch | HistoryCompacted, Failure]:
        """Return the updates that another daemon knows, without waiting."""
        other = self.daemon.fleet.at_peer(peer)
        if other is None or other.is_silent:
            self.daemon.call_ms = timeouts.wait_ms + timeouts.response_ms
            return Bad(STORE_UNAVAILABLE)
        reply = other.relay.updates_after(after, 0)
        if isinstance(reply, HistoryCompacted):
            return Success(reply)
        store = self.daemon.fleet.store
        revisions = tuple(each.revision for each in reply.changes.encoded)
        changes = attrs.evolve(
            store.batch(revisions), revision=reply.changes.revision
        )
        return Success(attrs.evolve(reply, changes=changes))


def _removal(name: str) -> StoreUpdate:
    """Return the removal of the entry of a daemon or of a server."""
    if name.startswith('vm-'):
        return MemberRemoved(name=name)
    return ServerRemoved(instance=name)
