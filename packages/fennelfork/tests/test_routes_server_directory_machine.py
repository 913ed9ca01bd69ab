"""Servers register, lapse, start again and drain in any order.

The model is the store: what it says last of a name is true, but for a write
of an earlier run, which reached it late.
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
from fennelfork.routes import BackendServer, Registry, Roster, ServerStates

_NAMES = st.sampled_from(['a', 'b', 'c'])
_LAPSE_MS = 2200


@attrs.define(kw_only=True)
class _Known:
    """What the store said last of one name."""

    server: BackendServer
    gone_ms: float | None = None


class RosterMachine(RuleBasedStateMachine):  # noqa: WPS230  # the model
    """Compares the roster, and what is seen of servers, with the store."""

    written = Bundle('written')

    def __init__(self) -> None:
        """Begin with an empty store."""
        super().__init__()
        self.time = ManualTime()
        self.roster = Roster(registry=Registry(clock=manual_clock(self.time)))
        self.states = ServerStates()
        self.births = 0
        self.observed: set[str] = set()
        self.holding_until_ms = 0.0
        self.known: dict[str, _Known] = {}

    @rule(target=written, name=_NAMES, draining=st.booleans())
    def start(self, name: str, *, draining: bool) -> BackendServer:
        """A server starts, perhaps again, and registers."""
        self.births += 1
        started = server(
            'archive',
            name,
            born_ms=self.births,
            draining=draining,
        )
        self._take(started)
        return started

    @rule(said=written, draining=st.booleans())
    def write(self, said: BackendServer, *, draining: bool) -> None:
        """A run writes something else, perhaps late."""
        self._take(attrs.evolve(said, draining=draining))

    @rule(said=written)
    def observe(self, said: BackendServer) -> None:
        """Something is seen of a run, perhaps of a former one."""
        self.states.of(said.run).standing.eject(self.time.at_ms)
        self.observed.add(said.run)

    @rule(name=_NAMES)
    def lapse(self, name: str) -> None:
        """An entry goes missing."""
        self.roster.remove(f'archive/{name}')
        known = self.known.get(name)
        if known is None or known.gone_ms is not None:
            return
        now_ms = self.time.at_ms
        known.gone_ms = max(now_ms, self.holding_until_ms)
        self._forget()

    @rule(name=_NAMES)
    def overwrite(self, name: str) -> None:
        """Somebody else writes over an entry."""
        self.roster.drop(f'archive/{name}')
        self.known.pop(name, None)
        self._forget()

    @rule(names=st.sets(_NAMES))
    def read_whole_list(self, names: set[str]) -> None:
        """A whole list names some of the servers."""
        self.roster.keep(f'archive/{name}' for name in names)
        for name in self.known.keys() - names:
            known = self.known[name]
            if known.gone_ms is None:
                known.gone_ms = max(self.time.at_ms, self.holding_until_ms)
        self._forget()

    @rule()
    def come_back(self) -> None:
        """The store is back after an absence."""
        self.roster.registry.hold()
        self.holding_until_ms = self.time.at_ms + _LAPSE_MS

    @rule(by_ms=st.integers(min_value=1, max_value=3000))
    def pass_time(self, by_ms: int) -> None:
        """Time goes by."""
        self.time.advance(by_ms)
        self._forget()

    @invariant()
    def usable_are_those_of_the_store(self) -> None:
        """Work goes to the newest run of each name, unless it drains."""
        usable = {one.run for one in self.roster.usable('archive')}
        assert usable == {
            known.server.run
            for known in self.known.values()
            if not known.server.draining
        }

    @invariant()
    def new_runs_are_trusted(self) -> None:
        """What was seen of a former run is not held against the next."""
        self.states.keep(self.roster.runs)
        for run in self.roster.runs - self.observed:
            assert not self.states.of(run).standing.ejected(self.time.at_ms)

    def _take(self, said: BackendServer) -> None:
        name = said.instance.removeprefix('archive/')
        known = self.known.get(name)
        outdated = known is not None and said.born_ms < known.server.born_ms
        assert self.roster.is_outdated(said) == outdated
        if outdated:
            return
        self.roster.put(said)
        self.known[name] = _Known(server=said)

    def _forget(self) -> None:
        self.known = {
            name: known
            for name, known in self.known.items()
            if known.gone_ms is None or known.gone_ms > self.time.at_ms
        }


TestRosterMachine = RosterMachine.TestCase
