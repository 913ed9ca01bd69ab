"""Delay between the decision to answer a request and the answer."""

import bisect
from collections import deque
from typing import Final

import attrs

from fennelfork.servers._rank import ObservedLatency

# The lag of the event loop changes within seconds.
_MAX_SAMPLES: Final = 64
# Lag and merge time of a daemon that has observed none.
_INITIAL_LAG_MS: Final = 5.0
_INITIAL_MERGE_MS: Final = 1.0
# Reading the request, logging and writing the answer take time that is not
# observed, so an answer leaves at least this time before the target.
_MIN_RESERVE_MS: Final = 36.0
# Levels at which the distribution of the delay is described.
_SHARES: Final = (0.5, 0.75, 0.9, 0.95, 1.0)


@attrs.frozen(kw_only=True)
class DelayLevel:
    """Delay that a share of the answers does not exceed.

    Attributes:
        delay_ms: delay between the decision to answer and the answer.
        share: share of the answers, from 0 to 1.
    """

    delay_ms: float
    share: float


@attrs.define(kw_only=True)
class AnswerDelays:
    """Recent delays of the answers of this daemon.

    An answer waits for the event loop and is merged before it is written.

    Attributes:
        min_reserve_ms: minimum time between the decision to answer and the
            latency target.
    """

    min_reserve_ms: float = _MIN_RESERVE_MS
    _recent_lags_ms: deque[float] = attrs.field(
        factory=lambda: deque((_INITIAL_LAG_MS,), _MAX_SAMPLES)
    )
    _sorted_lags_ms: list[float] | None = None
    _merge: ObservedLatency = attrs.field(
        factory=lambda: ObservedLatency(mean_ms=_INITIAL_MERGE_MS)
    )

    @property
    def usual_lag_ms(self) -> float:
        """Median lag of the event loop."""
        lags = self._sorted()
        return lags[len(lags) // 2]

    @property
    def levels(self) -> tuple[DelayLevel, ...]:
        """Delays of growing shares of the answers."""
        lags = self._sorted()
        return tuple(
            DelayLevel(
                delay_ms=lags[int(share * (len(lags) - 1))]
                + self._merge.mean_ms,
                share=share,
            )
            for share in _SHARES
        )

    def share_within(self, delay_ms: float) -> float:
        """Return the expected share of answers within a delay, from 0 to 1.

        Args:
            delay_ms: time between the decision and the end of the write.
        """
        lags = self._sorted()
        position = bisect.bisect_right(lags, delay_ms - self._merge.mean_ms)
        return position / len(lags)

    def record_lag(self, lag_ms: float) -> None:
        """Record by how much a wake-up of the event loop was late."""
        self._recent_lags_ms.append(max(0, lag_ms))
        self._sorted_lags_ms = None

    def record_merge(self, merge_ms: float) -> None:
        """Record the time between a decision to answer and the answer."""
        self._merge.record(merge_ms)

    def _sorted(self) -> list[float]:
        if self._sorted_lags_ms is None:
            self._sorted_lags_ms = sorted(self._recent_lags_ms)
        return self._sorted_lags_ms
