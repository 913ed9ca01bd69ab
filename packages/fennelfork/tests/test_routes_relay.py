"""Updates of the store that a daemon keeps for other daemons.

Guards against a daemon that misses an update, and against a daemon that asks a
relay again which has just failed.
"""

from hypothesis import given
from hypothesis import strategies as st

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import EncodedUpdate, RelayHealth, RelayLog


def _updates(first: int, last: int, size: int = 10) -> list[EncodedUpdate]:
    return [
        EncodedUpdate(revision=revision, text='x' * size)
        for revision in range(first, last + 1)
    ]


class TestRelayLog:
    """Updates after a revision."""

    def test_unknown_start(self) -> None:
        """A revision before the first known one is too old."""
        log = RelayLog()
        log.reset(100)
        assert log.since(99) is None
        assert log.since(100) == ()

    @given(st.integers(100, 130), st.integers(1, 20))
    def test_no_update_is_missing(self, after: int, step: int) -> None:
        """Each update after a known revision is returned once, in order."""
        log = RelayLog()
        log.reset(100)
        for first in range(101, 130, step):
            log.extend(_updates(first, first + step - 1), first + step - 1)
        found = log.since(after)
        assert found is not None
        assert [update.revision for update in found] == list(
            range(after + 1, log.revision + 1)
        )

    def test_bounded_memory(self) -> None:
        """Old updates are dropped, and a daemon that needs them learns so."""
        log = RelayLog()
        log.reset(100)
        for revision in range(101, 111):
            log.extend(_updates(revision, revision, 300_000), revision)
        assert log.since(100) is None
        recent = log.since(108)
        assert recent is not None
        assert [update.revision for update in recent] == [109, 110]

    def test_one_large_update(self) -> None:
        """An update beyond the bound is not passed on."""
        log = RelayLog()
        log.reset(100)
        log.extend(_updates(101, 101, 2_000_000), 101)
        assert log.since(100) is None
        assert log.since(101) == ()

    def test_reset(self) -> None:
        """After a listing, earlier updates are unknown."""
        log = RelayLog()
        log.extend(_updates(1, 5), 5)
        log.reset(50)
        assert log.since(5) is None


class TestRelayHealth:
    """Relays that have failed."""

    def test_unresponsive_relay(self) -> None:
        """A relay without a response is left out for 3 s."""
        time = ManualTime()
        health = RelayHealth(clock=manual_clock(time))
        health.record_failure('a')
        assert health.first_connected(['a', 'b']) == 'b'
        assert health.first_responsive(['a']) is None
        time.advance(3000)
        assert health.first_connected(['a', 'b']) == 'a'

    def test_disconnected_relay(self) -> None:
        """A relay without the store responds, but has no updates for 1 s."""
        time = ManualTime()
        health = RelayHealth(clock=manual_clock(time))
        health.record_disconnected('a')
        assert health.first_connected(['a']) is None
        assert health.first_responsive(['a']) == 'a'
        time.advance(1000)
        assert health.first_connected(['a']) == 'a'
