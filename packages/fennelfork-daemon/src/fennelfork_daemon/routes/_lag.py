"""Notices that this process falls behind."""

from collections.abc import Callable
from typing import Final

import attrs
import eventlet

from fennelfork import Clock

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
