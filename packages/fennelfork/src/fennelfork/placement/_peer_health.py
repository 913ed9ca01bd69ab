"""Which daemons gave no reply lately, as seen by one root.

Membership notices a lost daemon after seconds; a root that had to wait for
one avoids it at once, for a while that doubles with each silence.
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
    """Remembers silent daemons by name."""

    _clock: Clock
    _avoidances: dict[str, _Avoidance] = attrs.field(factory=dict)

    @property
    def avoided(self) -> frozenset[str]:
        """The daemons to avoid now."""
        now_ms = self._clock.now_ms()
        return frozenset(
            name
            for name, avoidance in self._avoidances.items()
            if avoidance.until_ms > now_ms
        )

    def record_failure(self, name: str) -> None:
        """A daemon gave no reply in time, or cannot be reached."""
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
        """A daemon replied in time."""
        self._avoidances.pop(name, None)


def peer_health(clock: Clock) -> PeerHealth:
    """Build the memory of a root that knows of no silence."""
    return PeerHealth(clock=clock)
