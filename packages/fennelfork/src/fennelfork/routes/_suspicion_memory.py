"""Which requests are remembered, and for how long."""

from collections.abc import Iterator
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._suspicion import RequestStanding, Suspicion

# One takes about a kilobyte here and in the store.
_MOST_KNOWN: Final = 256
_MINUTE_MS: Final = 60_000.0
# A request that met the end of a server by chance and never comes again is
# forgotten, as nothing will clear it; and one that was let through, once all
# that could hold something against it have heard of that.
_WEAK_MINUTES: Final = 10
WEAK_MS: Final = _WEAK_MINUTES * _MINUTE_MS
# One that was risked on a server alone and ended it is remembered for as long
# as somebody might go on sending it.
_LASTING_MINUTES: Final = 1440
_LASTING_MS: Final = _LASTING_MINUTES * _MINUTE_MS


@attrs.frozen(kw_only=True)
class SuspicionMemory:
    """What is known of requests, by their fingerprints, within bounds."""

    _clock: Clock
    _wall: Clock
    _known: dict[str, Suspicion] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[str]:
        """Give all fingerprints, the oldest first."""
        return iter(tuple(self._known))

    def __contains__(self, fingerprint: str) -> bool:
        """Whether anything is known of a request."""
        return fingerprint in self._known

    def __getitem__(self, fingerprint: str) -> Suspicion:
        """Give what is known of a request.

        Raises:
            KeyError: if nothing is.
        """
        return self._known[fingerprint]

    def find(self, fingerprint: str) -> Suspicion | None:
        """Give what is known of a request, if anything."""
        return self._known.get(fingerprint)

    def begin(self, fingerprint: str) -> Suspicion:
        """Know nothing of a request but that there is something to know."""
        now_ms = self._clock.now_ms()
        known = Suspicion(heard_ms=now_ms, since_ms=now_ms)
        self._known[fingerprint] = known
        return known

    def pop(self, fingerprint: str) -> Suspicion:
        """Remove a request and give what was known of it.

        Raises:
            KeyError: if nothing was.
        """
        return self._known.pop(fingerprint)

    def take_outdated(self) -> list[tuple[str, Suspicion]]:
        """Remove what is too old, or too much, and give it.

        Of what is too much the oldest go, and of those first such as the least
        is known of.
        """
        old = {
            fingerprint
            for fingerprint, known in self._known.items()
            if self._is_over(known)
        }
        by_weight = sorted(self._known, key=self._weight_of)
        surplus = by_weight[: max(0, len(by_weight) - _MOST_KNOWN)]
        return [(name, self.pop(name)) for name in old.union(surplus)]

    def _is_over(self, known: Suspicion) -> bool:
        if known.rounds:
            return self._wall.now_ms() - known.ended_ms > _LASTING_MS
        return self._clock.now_ms() - known.heard_ms > WEAK_MS

    def _weight_of(self, fingerprint: str) -> tuple[bool, bool]:
        known = self._known[fingerprint]
        return known.standing is RequestStanding.QUARANTINED, known.lasts


def suspicion_memory(clock: Clock, wall: Clock) -> SuspicionMemory:
    """Build an empty memory.

    Args:
        clock: of the daemon.
        wall: time of day, for what outlives the daemon.
    """
    return SuspicionMemory(clock=clock, wall=wall)
