"""Notices that this process falls behind."""

import functools
from collections.abc import Callable
from typing import Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork.routes import ConcurrencyLimits
from fennelfork_daemon.routes._request_reporter import RequestReporter

_MS_PER_SECOND: Final = 1000
_LOOK_MS: Final = 50.0
# A look that comes so much late waited behind other work: a request has as
# long a wait at each of its steps, some ten of them.
_LATE_MS: Final = 40.0


@attrs.frozen(kw_only=True)
class LagWatch:
    """Wakes at fixed times and notes when it wakes late."""

    _clock: Clock
    _note: Callable[[float], None]

    def run(self) -> None:
        """Look until the process ends."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            began_ms = self._clock.now_ms()
            eventlet.sleep(_LOOK_MS / _MS_PER_SECOND)
            late_ms = self._clock.now_ms() - began_ms - _LOOK_MS
            if late_ms > _LATE_MS:
                self._note(late_ms)


def lag_watch(
    clock: Clock,
    limits: ConcurrencyLimits,
    reporter: RequestReporter,
) -> LagWatch:
    """Build the watch that takes a late look as a sign of overload."""
    note = functools.partial(_note_overload, limits, reporter)
    return LagWatch(clock=clock, note=note)


def _note_overload(
    limits: ConcurrencyLimits,
    reporter: RequestReporter,
    late_ms: float,
) -> None:
    limits.record_lag()
    reporter.fell_behind(late_ms)
