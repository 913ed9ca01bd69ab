"""The one clock of the product, in milliseconds."""

import time
from collections.abc import Callable
from typing import Final

import attrs

_NS_PER_MS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class Clock:
    """Reads time in milliseconds since an arbitrary, fixed origin.

    Decision code takes a clock as argument and never asks the system, so that
    a test moves time by itself.
    """

    _read_ms: Callable[[], float]

    def now_ms(self) -> float:
        """Give the current reading.

        Returns:
            Milliseconds since the origin of this clock.
        """
        return self._read_ms()


@attrs.define(kw_only=True)
class ManualTime:
    """Time that moves only when told to, for tests and replays."""

    at_ms: float = 0

    def advance(self, by_ms: float) -> None:
        """Move the time forward by `by_ms` milliseconds."""
        self.at_ms += by_ms


def system_clock() -> Clock:
    """Build a clock over the monotonic time of the system."""
    return Clock(read_ms=_monotonic_ms)


def wall_clock() -> Clock:
    """Build a clock of civil time, for records that people read."""
    return Clock(read_ms=_wall_ms)


def manual_clock(manual: ManualTime) -> Clock:
    """Build a clock that shows the time held by `manual`."""
    return Clock(read_ms=lambda: manual.at_ms)


def _monotonic_ms() -> float:
    return time.monotonic_ns() / _NS_PER_MS


def _wall_ms() -> float:
    return time.time_ns() / _NS_PER_MS
