"""Backend servers that come, drain, lapse and are born again."""

import attrs
from core_builders_routes import AIM_MS, World, server

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    Registry,
    Roster,
    Selection,
    ServerStates,
    pace,
)


class TestRoster:
    """What is registered, and what is only missing for a moment."""

    def setup_method(self) -> None:
        """Begin with one server that is registered."""
        self.time = ManualTime()
        self.roster = Roster(registry=Registry(clock=manual_clock(self.time)))
        self.roster.put(server('archive', 'a'))

    def test_gone(self) -> None:
        """A server whose registration ends gets no more work."""
        assert self.roster.remove('archive/a')
        assert not self.roster.usable('archive')
        assert not self.roster.remove('archive/a')

    def test_draining(self) -> None:
        """One that is about to leave gets no new work, but stays known."""
        before = self.roster.put(server('archive', 'a', draining=True))
        assert before == server('archive', 'a')
        assert not self.roster.usable('archive')

    def test_moves_to_another_service(self) -> None:
        """The last registration of an instance counts."""
        moved = attrs.evolve(server('archive', 'a'), service='notices')
        self.roster.put(moved)
        assert not self.roster.usable('archive')
        assert self.roster.usable('notices') == [moved]

    def test_lapsed_and_back(self) -> None:
        """After an absence of the store a lapsed server stays in use."""
        self.roster.registry.hold()
        assert not self.roster.remove('archive/a')
        assert self.roster.usable('archive')
        self.time.advance(1500)
        self.roster.put(server('archive', 'a'))
        self.time.advance(5000)
        assert self.roster.usable('archive')

    def test_lapsed_and_not_back(self) -> None:
        """It is gone if it does not come back within some two seconds."""
        self.roster.registry.hold()
        self.roster.remove('archive/a')
        self.time.advance(2201)
        assert not self.roster.usable('archive')

    def test_a_whole_list_replaces(self) -> None:
        """What is missing from a whole list is gone."""
        self.roster.put(server('archive', 'b'))
        assert self.roster.keep(['archive/b']) == ['archive/a']
        assert self.roster.usable('archive') == [server('archive', 'b')]


class TestStartedAgain:
    """A server starts again under its name, and holds nothing of before."""

    def setup_method(self) -> None:
        """Begin with one run of a server."""
        clock = manual_clock(ManualTime())
        self.roster = Roster(registry=Registry(clock=clock))
        self.first = server('archive', 'a', born_ms=1000)
        self.second = server('archive', 'a', born_ms=2000)
        self.roster.put(self.first)

    def test_runs_differ(self) -> None:
        """The name stays, the run is another."""
        assert self.first.instance == self.second.instance
        assert self.first.run != self.second.run
        self.roster.put(self.second)
        assert self.roster.runs == {self.second.run}

    def test_nothing_seen_counts(self) -> None:
        """Latency, ejection and silence of the former run are forgotten."""
        states = ServerStates()
        former = states.of(self.first.run)
        former.sample(30, 0)
        former.standing.eject(0)
        former.sent(1, 0)
        self.roster.put(self.second)
        states.keep(self.roster.runs)
        fresh = states.of(self.second.run)
        assert fresh.slowness(0) == 1
        assert not fresh.standing.ejected(1)
        assert fresh.outstanding == 0

    def test_call_of_the_former_run_ends(self) -> None:
        """What it says is not held against the new run."""
        states = ServerStates()
        states.of(self.first.run).sent(1, 0)
        self.roster.put(self.second)
        states.keep(self.roster.runs)
        states.of(self.first.run).lost(1)
        states.of(self.first.run).standing.eject(0)
        assert not states.of(self.second.run).standing.ejected(1)

    def test_older_news(self) -> None:
        """What the former run wrote and the store took late is outdated."""
        self.roster.put(self.second)
        drains = server('archive', 'a', born_ms=1000, draining=True)
        assert self.roster.is_outdated(drains)
        assert not self.roster.is_outdated(self.second)
        assert not self.roster.is_outdated(server('archive', 'b'))

    def test_draining_ends_with_the_run(self) -> None:
        """The next run serves although the former drained."""
        self.roster.put(server('archive', 'a', born_ms=1000, draining=True))
        assert not self.roster.usable('archive')
        self.roster.put(self.second)
        assert self.roster.usable('archive') == [self.second]

    def test_had_the_request_before(self) -> None:
        """A request that the former run had may go to the next one."""
        world = World()
        world.roster.put(server('archive', 'a', born_ms=1000))
        asked = world.parts.selector.choose(
            Selection(
                service='archive',
                tried={server('archive', 'a').run},
                pace=pace(AIM_MS),
            ),
        )
        assert asked is not None


class TestDrop:
    """An entry that was replaced by what names nobody."""

    def test_is_not_held(self) -> None:
        """It is forgotten at once, also right after an absence."""
        roster = Roster(registry=Registry(clock=manual_clock(ManualTime())))
        roster.put(server('archive', 'a'))
        roster.registry.hold()
        assert roster.drop('archive/a')
        assert not roster.usable('archive')
        assert not roster.drop('archive/a')
