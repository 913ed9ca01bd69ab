"""Clocks that read milliseconds, replaceable in tests."""

import time
from collections.abc import Callable
from typing import Final

import attrs

_NS_PER_MS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class Clock:
    """Reads time in milliseconds since an arbitrary, fixed origin.

    Decision code takes a clock as an argument and never reads the system time,
    so that a test controls the time.
    """

    _read_ms: Callable[[], float]

    def now_ms(self) -> float:
        """Return the current time.

        Returns:
            Milliseconds since the origin of this clock.
        """
        return self._read_ms()


@attrs.define(kw_only=True)
class ManualTime:
    """Time that advances only on request, for tests and replays.

    Attributes:
        at_ms: current time.
    """

    at_ms: float = 0

    def advance(self, by_ms: float) -> None:
        """Advance the time by `by_ms` milliseconds."""
        self.at_ms += by_ms


def system_clock() -> Clock:
    """Build a clock that reads the monotonic time of the system."""
    return Clock(read_ms=_monotonic_ms)


def wall_clock() -> Clock:
    """Build a clock that reads the Unix time of the system."""
    return Clock(read_ms=_wall_ms)


def manual_clock(manual: ManualTime) -> Clock:
    """Build a clock that reads the time of `manual`."""
    return Clock(read_ms=lambda: manual.at_ms)


def _monotonic_ms() -> float:
    return time.monotonic_ns() / _NS_PER_MS


def _wall_ms() -> float:
    return time.time_ns() / _NS_PER_MS
