"""Admission of requests to a daemon that stops.

Guards against a request that is taken late in a stop and cut, and against the
refusal of a request that would have ended in time.
"""

import math
from itertools import repeat

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import StopTimes
from fennelfork.routes import can_end_before_stop
from fennelfork.routes._latency_baseline import (
    LatencyBaseline,
    latency_baseline,
)

_TIMEOUT_MS = 15_000
# Earliest end of the requests that a caller sends when its entry has expired.
_LEAST_LEFT_MS = 1300


def _baseline(*latencies_ms: float) -> LatencyBaseline:
    baseline = latency_baseline(1026)
    for latency_ms in latencies_ms:
        baseline.record(latency_ms)
    return baseline


def _early(abort_in_ms: float) -> StopTimes:
    return StopTimes(abort_in_ms=abort_in_ms, estimate_left_ms=1)


def _late(abort_in_ms: float) -> StopTimes:
    return StopTimes(abort_in_ms=abort_in_ms, estimate_left_ms=0)


class TestAdmission:
    """Decisions with few and many observed responses."""

    @pytest.mark.parametrize(
        'abort_in_ms', [0, 500, _LEAST_LEFT_MS, 5500, math.inf]
    )
    def test_unknown_latency(self, abort_in_ms: float) -> None:
        """Without responses, only the timeout bounds a run."""
        baseline = _baseline()
        is_serving = abort_in_ms == math.inf
        for times in (_early(abort_in_ms), _late(abort_in_ms)):
            assert can_end_before_stop(baseline, abort_in_ms, times)
            admitted = can_end_before_stop(baseline, _TIMEOUT_MS, times)
            assert admitted is is_serving

    @pytest.mark.parametrize('count', [1, 10, 200])
    def test_short_runs_are_admitted(self, count: int) -> None:
        """Early in a stop, runs of 0.1 s are expected to end in time."""
        baseline = _baseline(*repeat(100.0, count))
        times = _early(_LEAST_LEFT_MS)
        assert can_end_before_stop(baseline, _TIMEOUT_MS, times)

    @pytest.mark.parametrize('count', [1, 10, 200])
    def test_long_runs_are_refused(self, count: int) -> None:
        """Runs of 2.8 s do not end within 2.5 s."""
        baseline = _baseline(*repeat(2800.0, count))
        for times in (_early(2500), _late(2500)):
            assert not can_end_before_stop(baseline, _TIMEOUT_MS, times)

    def test_rare_long_runs_are_considered(self) -> None:
        """The longest of many runs decide, not the usual ones."""
        baseline = _baseline(*repeat(100.0, 190), *repeat(2000.0, 10))
        for times in (_early(_LEAST_LEFT_MS), _late(_LEAST_LEFT_MS)):
            assert not can_end_before_stop(baseline, _TIMEOUT_MS, times)

    @given(
        latencies_ms=st.lists(st.floats(1, 5000), max_size=80),
        timeout_ms=st.floats(1, 20_000),
        abort_in_ms=st.floats(0, 20_000),
    )
    def test_earlier_runs_do_not_bound_late_ones(
        self, latencies_ms: list[float], timeout_ms: float, abort_in_ms: float
    ) -> None:
        """Late in a stop, exactly what the timeout bounds is admitted.

        Guards against a run that is cut since earlier runs were short.
        """
        admitted = can_end_before_stop(
            _baseline(*latencies_ms), timeout_ms, _late(abort_in_ms)
        )
        assert admitted is (timeout_ms <= abort_in_ms)

    @given(
        latencies_ms=st.lists(st.floats(1, 5000), max_size=80),
        timeout_ms=st.floats(1, 20_000),
    )
    def test_serving_daemon_admits_all(
        self, latencies_ms: list[float], timeout_ms: float
    ) -> None:
        """A daemon that does not stop refuses nothing."""
        baseline = _baseline(*latencies_ms)
        assert can_end_before_stop(baseline, timeout_ms, StopTimes())
