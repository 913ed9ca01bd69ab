"""Failures of peer daemons as observed by one root daemon.

Membership detects a crashed daemon after seconds. A root daemon avoids an
unresponsive peer immediately, for a pause that doubles with each failure.
"""

from typing import Final

import attrs

from fennelfork._clock import Clock

_INITIAL_PAUSE_MS: Final = 500
_MAX_PAUSE_MS: Final = 8000


@attrs.define(kw_only=True)
class _Avoidance:
    until_ms: float
    pause_ms: float


@attrs.define(kw_only=True)
class PeerHealth:
    """Unresponsive peer daemons by name."""

    _clock: Clock
    _avoidances: dict[str, _Avoidance] = attrs.field(factory=dict)

    @property
    def avoided(self) -> frozenset[str]:
        """Names of the peer daemons to avoid now."""
        now_ms = self._clock.now_ms()
        return frozenset(
            name
            for name, avoidance in self._avoidances.items()
            if avoidance.until_ms > now_ms
        )

    def record_failure(self, name: str) -> None:
        """Record that a peer timed out or could not be reached."""
        now_ms = self._clock.now_ms()
        previous = self._avoidances.get(name)
        if previous is None:
            pause_ms: float = _INITIAL_PAUSE_MS
        elif previous.until_ms > now_ms:
            return
        else:
            pause_ms = min(previous.pause_ms * 2, _MAX_PAUSE_MS)
        self._avoidances[name] = _Avoidance(
            until_ms=now_ms + pause_ms,
            pause_ms=pause_ms,
        )

    def record_reply(self, name: str) -> None:
        """Record that a peer replied in time."""
        self._avoidances.pop(name, None)


def peer_health(clock: Clock) -> PeerHealth:
    """Build a record without failures of peer daemons."""
    return PeerHealth(clock=clock)
