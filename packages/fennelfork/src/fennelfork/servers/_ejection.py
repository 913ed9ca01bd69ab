"""Ejection of failing backend servers, based on the outcomes of attempts."""

import math
from typing import Final

import attrs

# With hedges at the 95th percentile, a good server loses one of 25 races by
# chance, so a few losses in a row are no sign of a fault.
_MAX_CONSECUTIVE_FAILURES: Final = 5
_INITIAL_EJECTION_MS: Final = 500.0
_MAX_EJECTION_MS: Final = 30_000.0
_DOUBLE: Final = 2
# Time for which a server gets nothing after another one responded at its address.
# Outages of the store, during which its registration stays, are shorter.
_REPLACED_MS: Final = 30_000.0
# Time for which a server gets nothing after its process has ended. Its
# registration expires before, unless the store is down for long.
_ENDED_MS: Final = 10_000.0


@attrs.define(kw_only=True)
class EjectionState:
    """Ejection state of one backend server.

    Attributes:
        ejected_until_ms: end of the ejection.
        replaced_until_ms: end of the time for which the server counts as gone,
            and another one may have its address.
        ramp: maximum number of slots in use during slow start.
    """

    ejected_until_ms: float = -math.inf
    replaced_until_ms: float = -math.inf
    ramp: float = math.inf
    _consecutive_failures: int = 0
    _ejections: int = 0

    @property
    def in_slow_start(self) -> bool:
        """Whether the number of usable slots is limited by slow start."""
        return self.ramp != math.inf

    @property
    def should_eject(self) -> bool:
        """Whether the consecutive failures have reached the ejection threshold."""
        limit = (
            1
            if self._ejections and self.in_slow_start
            else _MAX_CONSECUTIVE_FAILURES
        )
        return self._consecutive_failures >= limit

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server is ejected."""
        return now_ms < self.ejected_until_ms

    def is_replaced(self, now_ms: float) -> bool:
        """Return whether requests may reach another server in its place."""
        return now_ms < self.replaced_until_ms

    def usable_slots(self, slots: int, now_ms: float) -> int:
        """Return how many of the slots of the server may be used."""
        if self.is_ejected(now_ms):
            return 0
        return int(min(slots, self.ramp))

    def record_success(self, slots: int) -> None:
        """Record a success; during slow start it doubles the ramp."""
        self._consecutive_failures = 0
        if not self.in_slow_start:
            return
        self.ramp *= _DOUBLE
        if self.ramp >= slots:
            self.ramp = math.inf
            self._ejections = 0

    def record_failure(self) -> None:
        """Record a failure, a lost hedge or an invalid response."""
        self._consecutive_failures += 1

    def eject(self, now_ms: float) -> None:
        """Eject the server, for twice as long after each consecutive ejection."""
        length_ms = _INITIAL_EJECTION_MS * _DOUBLE**self._ejections
        self.ejected_until_ms = now_ms + min(length_ms, _MAX_EJECTION_MS)
        self._ejections += 1
        self._consecutive_failures = 0
        self.ramp = 1

    def record_replaced(self, now_ms: float) -> None:
        """Record that another server responded at the address of this one."""
        self.replaced_until_ms = now_ms + _REPLACED_MS

    def record_ended(self, now_ms: float) -> None:
        """Record that the process of the server has ended."""
        until_ms = now_ms + _ENDED_MS
        self.replaced_until_ms = max(self.replaced_until_ms, until_ms)

    def begin_slow_start(self) -> None:
        """Limit the server to one slot and start the ramp."""
        self.ramp = min(self.ramp, 1)


def may_eject(ejected_count: int, servers: int) -> bool:
    """Return whether one more server of a shard may be ejected for latency.

    At most half of the servers of a shard are ejected, so that the load on
    the remaining servers stays bounded.

    Args:
        ejected_count: number of ejected servers of the shard.
        servers: number of all servers of the shard.
    """
    return (ejected_count + 1) * _DOUBLE <= servers
