"""Phases of the graceful stop of a daemon."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import (
    StopConditions,
    StopPhase,
    StopPolicy,
    StopTimes,
    graceful_stop,
)

_POLICY = StopPolicy(entry_ttl_ms=5000, stop_ms=60_000, announce_ms=3000)


def _conditions(
    now_ms: float, *, announced: bool = True, running: int = 0
) -> StopConditions:
    return StopConditions(now_ms=now_ms, announced=announced, running=running)


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
    """Conditions for the transitions between phases."""

    def test_serves_until_requested(self) -> None:
        """A daemon does not stop without a request."""
        stop = graceful_stop(_POLICY)
        assert stop.step(_conditions(1e9)) is StopPhase.SERVING
        assert not stop.is_draining

    def test_lingers_for_ttl_after_announcement(self) -> None:
        """The time to live starts when the announcement is complete."""
        stop = graceful_stop(_POLICY)
        stop.end(1000)
        assert (
            stop.step(_conditions(2000, announced=False))
            is StopPhase.ANNOUNCING
        )
        assert stop.step(_conditions(2500)) is StopPhase.LINGERING
        assert stop.step(_conditions(7500, running=1)) is StopPhase.LINGERING
        assert stop.step(_conditions(8100, running=1)) is StopPhase.CLOSING
        assert stop.step(_conditions(8200)) is StopPhase.ENDED
        assert stop.exit_status == 0

    def test_remaining_time(self) -> None:
        """Only a request to exit bounds the time of running requests."""
        stop = graceful_stop(attrs.evolve(_POLICY, estimate_ms=3000))
        stop.drain(500)
        assert stop.times(700) == StopTimes()
        stop.end(1000)
        assert stop.times(1500) == StopTimes(
            abort_in_ms=59_500, estimate_left_ms=2500
        )
        assert stop.times(90_000) == StopTimes(
            abort_in_ms=0, estimate_left_ms=0
        )

    def test_lingers_for_propagation(self) -> None:
        """The propagation delay of a large fleet extends the linger phase."""
        policy = attrs.evolve(_POLICY, propagation_ms=lambda: 700)
        stop = graceful_stop(policy)
        stop.end(1000)
        assert stop.step(_conditions(2500)) is StopPhase.LINGERING
        assert stop.step(_conditions(8600, running=1)) is StopPhase.LINGERING
        assert stop.step(_conditions(8700, running=1)) is StopPhase.CLOSING

    def test_repeated_signal(self) -> None:
        """The policy decides whether a repeated signal aborts requests."""
        policy = attrs.evolve(_POLICY, repeat_forces_end=False)
        stop = graceful_stop(policy)
        stop.end(1000)
        stop.end(1500)
        assert stop.step(_conditions(2000, running=1)) is StopPhase.LINGERING
        forced = graceful_stop(_POLICY)
        forced.end(1000)
        forced.end(1500)
        assert forced.step(_conditions(2000, running=1)) is StopPhase.ENDED
        assert forced.aborted_requests == 1

    def test_announcement_times_out(self) -> None:
        """Unresponsive members delay the stop up to the timeout only."""
        stop = graceful_stop(_POLICY)
        stop.end(0)
        assert (
            stop.step(_conditions(2999, announced=False))
            is StopPhase.ANNOUNCING
        )
        assert (
            stop.step(_conditions(3000, announced=False)) is StopPhase.LINGERING
        )

    def test_drained_daemon_serves_until_end(self) -> None:
        """A drained daemon ends without further delay when requested."""
        stop = graceful_stop(_POLICY)
        stop.drain(0)
        stop.step(_conditions(0))
        assert stop.step(_conditions(1e9)) is StopPhase.DRAINED
        stop.end(1e9)
        assert stop.step(_conditions(1e9)) is StopPhase.ENDED

    def test_second_signal_aborts_requests(self) -> None:
        """The stop reports the aborted requests and a failure status."""
        stop = graceful_stop(_POLICY)
        stop.end(0)
        stop.end(10)
        assert stop.step(_conditions(20, running=2)) is StopPhase.ENDED
        assert (stop.aborted_requests, stop.exit_status) == (2, 1)

    def test_stop_times_out(self) -> None:
        """A request that never completes does not block the stop."""
        stop = graceful_stop(_POLICY)
        stop.end(0)
        assert stop.step(_conditions(59_999, running=1)) is not StopPhase.ENDED
        stop.step(_conditions(66_000, running=1))
        assert (stop.phase, stop.aborted_requests) == (StopPhase.ENDED, 1)

    @given(_HISTORIES)
    def test_any_history(self, history) -> None:
        """Phases only advance; an unforced end aborts no request."""
        stop = graceful_stop(_POLICY)
        order = list(StopPhase)
        now_ms = 0.0
        end_requests = 0
        for by_ms, announced, running, request in history:
            now_ms += by_ms
            before = stop.phase
            if request == 'drain':
                stop.drain(now_ms)
            elif request == 'end':
                stop.end(now_ms)
                end_requests += 1
            stop.step(_conditions(now_ms, announced=announced, running=running))
            assert order.index(stop.phase) >= order.index(before)
            if stop.phase is StopPhase.ENDED:
                assert end_requests
                break
        if (
            stop.phase is StopPhase.ENDED
            and end_requests == 1
            and now_ms < 60_000
        ):
            assert stop.aborted_requests == 0
