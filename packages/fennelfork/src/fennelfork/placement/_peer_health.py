"""Which daemons gave no reply lately, as seen by one root.

Membership notices a lost daemon after seconds; a root that had to wait for
one avoids it at once, for a while that doubles with each silence.
"""

from typing import Final

import attrs

from fennelfork._clock import Clock

_FIRST_PAUSE_MS: Final = 500
_LONGEST_PAUSE_MS: Final = 8000


@attrs.define(kw_only=True)
class _Silence:
    until_ms: float
    pause_ms: float


@attrs.define(kw_only=True)
class PeerHealth:
    """Remembers silent daemons by name."""

    _clock: Clock
    _silences: dict[str, _Silence] = attrs.field(factory=dict)

    @property
    def avoided(self) -> frozenset[str]:
        """The daemons to avoid now."""
        now_ms = self._clock.now_ms()
        return frozenset(
            name
            for name, silence in self._silences.items()
            if silence.until_ms > now_ms
        )

    def note_silence(self, name: str) -> None:
        """A daemon gave no reply in time, or cannot be reached."""
        now_ms = self._clock.now_ms()
        known = self._silences.get(name)
        if known is None:
            pause_ms: float = _FIRST_PAUSE_MS
        elif known.until_ms > now_ms:
            return
        else:
            pause_ms = min(known.pause_ms * 2, _LONGEST_PAUSE_MS)
        self._silences[name] = _Silence(
            until_ms=now_ms + pause_ms,
            pause_ms=pause_ms,
        )

    def note_reply(self, name: str) -> None:
        """A daemon replied in time."""
        self._silences.pop(name, None)


def peer_health(clock: Clock) -> PeerHealth:
    """Build the memory of a root that knows of no silence."""
    return PeerHealth(clock=clock)
