"""Age of the shard views that exclude draining servers."""

import attrs

from fennelfork import ManualTime, manual_clock
from fennelfork.gather import ShardView
from fennelfork_daemon.execute._view_ages import ViewAges
from fennelfork_daemon.peer._codec_view import views_from_peer, views_to_peer

_REFUSING = ShardView(shard='low', snapshots=(), refusing_servers=('raft-a',))


class TestViewAges:
    """Guard against a server that an outdated view excludes for good."""

    def test_unchanged_view_becomes_outdated(self) -> None:
        """A view with refusals has to be replaced within a second."""
        time = ManualTime()
        ages = ViewAges(clock=manual_clock(time))
        assert not ages.find_outdated('raft', [_REFUSING])
        time.advance(1000)
        assert not ages.find_outdated('raft', [_REFUSING])
        time.advance(1)
        assert ages.find_outdated('raft', [_REFUSING]) == {'low'}

    def test_replaced_view_is_current(self) -> None:
        """Each reply of the home daemon brings a new view."""
        time = ManualTime()
        ages = ViewAges(clock=manual_clock(time))
        for _ in range(5):
            time.advance(900)
            assert not ages.find_outdated('raft', [attrs.evolve(_REFUSING)])

    def test_view_without_refusals_has_no_age(self) -> None:
        """Views that exclude no server are kept."""
        time = ManualTime()
        ages = ViewAges(clock=manual_clock(time))
        view = attrs.evolve(_REFUSING, refusing_servers=())
        for _ in range(3):
            time.advance(60_000)
            assert not ages.find_outdated('raft', [view])


class TestCodec:
    """Guard against refusals that are lost between daemons."""

    def test_round_trip(self) -> None:
        """A view arrives with the names of the refusing servers."""
        assert views_from_peer(views_to_peer((_REFUSING,))) == (_REFUSING,)

    def test_earlier_version(self) -> None:
        """A message without the names is read as a view without refusals."""
        messages = views_to_peer((_REFUSING,))
        messages[0].refusing_servers = None
        assert not views_from_peer(messages)[0].refusing_servers
