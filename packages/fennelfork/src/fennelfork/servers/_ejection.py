"""Own judgement of a backend server, whatever its health endpoint says."""

import math
from typing import Final

import attrs

# With a hedge at the 95th percentile, a good server loses one in 25 by chance.
_MAX_CONSECUTIVE_FAILURES: Final = 5
_INITIAL_EJECTION_MS: Final = 500.0
_MAX_EJECTION_MS: Final = 30_000.0
_DOUBLE: Final = 2


@attrs.define(kw_only=True)
class Standing:
    """How far a server is trusted.

    Attributes:
        ejected_until_ms: no work before this time.
        ramp: most slots in use while the server returns or warms up.
    """

    ejected_until_ms: float = -math.inf
    ramp: float = math.inf
    _consecutive_failures: int = 0
    _ejections: int = 0

    @property
    def in_slow_start(self) -> bool:
        """Whether the server still has to prove itself."""
        return self.ramp != math.inf

    @property
    def doubted(self) -> bool:
        """Whether one more bad outcome calls for ejection."""
        limit = (
            1
            if self._ejections and self.in_slow_start
            else _MAX_CONSECUTIVE_FAILURES
        )
        return self._consecutive_failures >= limit

    def ejected(self, now_ms: float) -> bool:
        """Tell whether the server gets no work now."""
        return now_ms < self.ejected_until_ms

    def usable(self, slots: int, now_ms: float) -> int:
        """Tell how many of a server's slots may be in use now."""
        if self.ejected(now_ms):
            return 0
        return int(min(slots, self.ramp))

    def note_good(self, slots: int) -> None:
        """Note a good outcome: the ramp doubles until all slots are open."""
        self._consecutive_failures = 0
        if not self.in_slow_start:
            return
        self.ramp *= _DOUBLE
        if self.ramp >= slots:
            self.ramp = math.inf
            self._ejections = 0

    def note_bad(self) -> None:
        """Note a failure, a lost hedge or a reply that lies."""
        self._consecutive_failures += 1

    def eject(self, now_ms: float) -> None:
        """Give the server no work for a while, longer each time in a row."""
        length_ms = _INITIAL_EJECTION_MS * _DOUBLE**self._ejections
        self.ejected_until_ms = now_ms + min(length_ms, _MAX_EJECTION_MS)
        self._ejections += 1
        self._consecutive_failures = 0
        self.ramp = 1

    def begin_slow_start(self) -> None:
        """Open the slots of a cold server one step at a time."""
        self.ramp = min(self.ramp, 1)


def may_eject(ejected: int, servers: int) -> bool:
    """Tell whether one more server of a shard may be ejected as slow.

    Judged by latency, most servers of a shard cannot be outliers; ejecting
    them would put their load on the rest.

    Args:
        ejected: how many servers of the shard are ejected now.
        servers: how many it has.
    """
    return (ejected + 1) * _DOUBLE <= servers
