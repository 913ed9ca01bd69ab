"""Backend servers that come, drain, lapse and are born again."""

import attrs
from core_builders_routes import server

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import Registry, Roster


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
