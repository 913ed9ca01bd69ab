"""Model test of servers that register, expire, restart and drain.

The model is the content of the store: the last write of a name applies unless
the write belongs to an earlier incarnation.
"""

import attrs
from core_builders_routes import server
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    BackendServer,
    Registry,
    ServerDirectory,
    ServerStates,
)

_NAMES = st.sampled_from(['a', 'b', 'c'])
_GRACE_MS = 2200


@attrs.define(kw_only=True)
class _Known:
    """Last registration of one name, and when it expires."""

    server: BackendServer
    expires_ms: float | None = None


class ServerDirectoryMachine(RuleBasedStateMachine):  # noqa: WPS230  # the model
    """Compares directory and server states with the store."""

    written = Bundle('written')

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        self.time = ManualTime()
        self.directory = ServerDirectory(
            registry=Registry(clock=manual_clock(self.time))
        )
        self.states = ServerStates()
        self.starts = 0
        self.observed: set[str] = set()
        self.grace_until_ms = 0.0
        self.known: dict[str, _Known] = {}

    @rule(target=written, name=_NAMES, draining=st.booleans())
    def start(self, name: str, *, draining: bool) -> BackendServer:
        """Start or restart a server, which registers."""
        self.starts += 1
        started = server(
            'archive',
            name,
            started_ms=self.starts,
            draining=draining,
        )
        self._register(started)
        return started

    @rule(registered=written, draining=st.booleans())
    def write(self, registered: BackendServer, *, draining: bool) -> None:
        """Update a registration, perhaps late."""
        self._register(attrs.evolve(registered, draining=draining))

    @rule(registered=written)
    def observe(self, registered: BackendServer) -> None:
        """Eject an incarnation, perhaps an earlier one."""
        self.states.for_incarnation(registered.incarnation).ejection.eject(
            self.time.at_ms
        )
        self.observed.add(registered.incarnation)

    @rule(name=_NAMES)
    def expire(self, name: str) -> None:
        """Remove an entry from the store."""
        self.directory.remove(f'archive/{name}')
        known = self.known.get(name)
        if known is None or known.expires_ms is not None:
            return
        now_ms = self.time.at_ms
        known.expires_ms = max(now_ms, self.grace_until_ms)
        self._remove_expired()

    @rule(name=_NAMES)
    def overwrite(self, name: str) -> None:
        """Overwrite an entry with an unrelated value."""
        self.directory.discard(f'archive/{name}')
        self.known.pop(name, None)
        self._remove_expired()

    @rule(names=st.sets(_NAMES))
    def read_listing(self, names: set[str]) -> None:
        """Apply a listing that contains some of the servers."""
        self.directory.retain(f'archive/{name}' for name in names)
        for name in self.known.keys() - names:
            known = self.known[name]
            if known.expires_ms is None:
                known.expires_ms = max(self.time.at_ms, self.grace_until_ms)
        self._remove_expired()

    @rule()
    def end_outage(self) -> None:
        """Start the grace period after a store outage."""
        self.directory.registry.start_grace_period()
        self.grace_until_ms = self.time.at_ms + _GRACE_MS

    @rule(by_ms=st.integers(min_value=1, max_value=3000))
    def wait(self, by_ms: int) -> None:
        """Advance the clock."""
        self.time.advance(by_ms)
        self._remove_expired()

    @invariant()
    def usable_servers_match_store(self) -> None:
        """The newest incarnation of each name is usable unless it drains."""
        usable = {
            one.incarnation for one in self.directory.usable_servers('archive')
        }
        assert usable == {
            known.server.incarnation
            for known in self.known.values()
            if not known.server.draining
        }

    @invariant()
    def new_incarnations_are_not_ejected(self) -> None:
        """An ejection does not affect the next incarnation."""
        self.states.retain(self.directory.incarnations)
        for run in self.directory.incarnations - self.observed:
            assert not self.states.for_incarnation(run).ejection.is_ejected(
                self.time.at_ms
            )

    def _register(self, registered: BackendServer) -> None:
        name = registered.instance.removeprefix('archive/')
        known = self.known.get(name)
        outdated = (
            known is not None
            and registered.started_ms < known.server.started_ms
        )
        assert self.directory.is_outdated(registered) == outdated
        if outdated:
            return
        self.directory.put(registered)
        self.known[name] = _Known(server=registered)

    def _remove_expired(self) -> None:
        self.known = {
            name: known
            for name, known in self.known.items()
            if known.expires_ms is None or known.expires_ms > self.time.at_ms
        }


TestServerDirectoryMachine = ServerDirectoryMachine.TestCase
