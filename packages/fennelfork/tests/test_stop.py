"""The phases of a graceful stop."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import StopFacts, StopPhase, StopPolicy, graceful_stop

_POLICY = StopPolicy(entry_ttl_ms=5000, stop_ms=60_000, announce_ms=3000)


def _facts(now_ms: float, *, told: bool = True, running: int = 0) -> StopFacts:
    return StopFacts(now_ms=now_ms, told=told, running=running)


_HISTORIES = st.lists(
    st.tuples(
        st.floats(1, 4000),
        st.booleans(),
        st.integers(0, 3),
        st.sampled_from(['', '', '', 'drain', 'end']),
    ),
    max_size=60,
)


class TestGracefulStop:
    """What must have passed before the process ends."""

    def test_serves_until_asked(self) -> None:
        """Nothing happens by itself."""
        stop = graceful_stop(_POLICY)
        assert stop.step(_facts(1e9)) is StopPhase.SERVING
        assert not stop.is_leaving

    def test_lingers_for_the_whole_ttl_after_all_are_told(self) -> None:
        """The time to live counts from when the last member was told."""
        stop = graceful_stop(_POLICY)
        stop.end(1000)
        assert stop.step(_facts(2000, told=False)) is StopPhase.ANNOUNCING
        assert stop.step(_facts(2500)) is StopPhase.LINGERING
        assert stop.step(_facts(7500, running=1)) is StopPhase.LINGERING
        assert stop.step(_facts(8100, running=1)) is StopPhase.CLOSING
        assert stop.step(_facts(8200)) is StopPhase.ENDED
        assert stop.exit_status == 0

    def test_lingers_while_others_have_not_heard(self) -> None:
        """In a large fleet others name a leaving daemon for longer."""
        policy = attrs.evolve(_POLICY, hear_ms=lambda: 700)
        stop = graceful_stop(policy)
        stop.end(1000)
        assert stop.step(_facts(2500)) is StopPhase.LINGERING
        assert stop.step(_facts(8600, running=1)) is StopPhase.LINGERING
        assert stop.step(_facts(8700, running=1)) is StopPhase.CLOSING

    def test_a_repeated_signal_may_count_once(self) -> None:
        """Where a supervisor repeats its signal, no request is cut by it."""
        policy = attrs.evolve(_POLICY, asked_twice_ends=False)
        stop = graceful_stop(policy)
        stop.end(1000)
        stop.end(1500)
        assert stop.step(_facts(2000, running=1)) is StopPhase.LINGERING
        forced = graceful_stop(_POLICY)
        forced.end(1000)
        forced.end(1500)
        assert forced.step(_facts(2000, running=1)) is StopPhase.ENDED
        assert forced.cut == 1

    def test_members_that_do_not_answer_delay_it_by_a_bound(self) -> None:
        """An announcement that cannot be finished ends after its time."""
        stop = graceful_stop(_POLICY)
        stop.end(0)
        assert stop.step(_facts(2999, told=False)) is StopPhase.ANNOUNCING
        assert stop.step(_facts(3000, told=False)) is StopPhase.LINGERING

    def test_drain_serves_on_until_the_end_is_asked_for(self) -> None:
        """A drained daemon then ends without a further wait."""
        stop = graceful_stop(_POLICY)
        stop.drain(0)
        stop.step(_facts(0))
        assert stop.step(_facts(1e9)) is StopPhase.DRAINED
        stop.end(1e9)
        assert stop.step(_facts(1e9)) is StopPhase.ENDED

    def test_second_signal_ends_at_once_and_says_what_was_cut(self) -> None:
        """The number of cut requests and the exit status tell."""
        stop = graceful_stop(_POLICY)
        stop.end(0)
        stop.end(10)
        assert stop.step(_facts(20, running=2)) is StopPhase.ENDED
        assert (stop.cut, stop.exit_status) == (2, 1)

    def test_bounded_time_ends_it(self) -> None:
        """A request that never finishes does not hold the stop for ever."""
        stop = graceful_stop(_POLICY)
        stop.end(0)
        assert stop.step(_facts(59_999, running=1)) is not StopPhase.ENDED
        stop.step(_facts(66_000, running=1))
        assert (stop.phase, stop.cut) == (StopPhase.ENDED, 1)

    @given(_HISTORIES)
    def test_any_history(self, history) -> None:
        """Phases only advance; an end without force cuts nothing."""
        stop = graceful_stop(_POLICY)
        order = list(StopPhase)
        now_ms = 0.0
        ends = 0
        for by_ms, told, running, asked in history:
            now_ms += by_ms
            before = stop.phase
            if asked == 'drain':
                stop.drain(now_ms)
            elif asked == 'end':
                stop.end(now_ms)
                ends += 1
            stop.step(_facts(now_ms, told=told, running=running))
            assert order.index(stop.phase) >= order.index(before)
            if stop.phase is StopPhase.ENDED:
                assert ends
                break
        if stop.phase is StopPhase.ENDED and ends == 1 and now_ms < 60_000:
            assert stop.cut == 0
