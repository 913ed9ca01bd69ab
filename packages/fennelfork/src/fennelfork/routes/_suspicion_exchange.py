"""What daemons tell each other of requests that ended servers."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._suspicion import (
    RequestStanding,
    Suspicion,
    SuspicionRecord,
)
from fennelfork.routes._suspicion_memory import WEAK_MS, SuspicionMemory
from fennelfork.routes._suspicion_news import News, PendingNews

# Of a request that is not remembered any more.
_NOTHING_HELD: Final = Suspicion(standing=RequestStanding.RELEASED)


@attrs.frozen(kw_only=True)
class SuspicionExchange:
    """Keeps one daemon's memory and what a store holds alike.

    Attributes:
        memory: of this daemon.
    """

    memory: SuspicionMemory
    _clock: Clock
    _pending: PendingNews

    @property
    def records(self) -> tuple[SuspicionRecord, ...]:
        """All that is known."""
        return tuple(map(self.record_of, self.memory))

    @property
    def is_urgent(self) -> bool:
        """Whether other daemons would act on some of it."""
        return any(
            self.memory[changed].lasts for changed in self._pending.changed
        )

    def record_of(self, fingerprint: str) -> SuspicionRecord:
        """Give what other daemons are to know of a request."""
        known = self.memory.find(fingerprint) or _NOTHING_HELD
        return known.record(fingerprint)

    def tell(self, fingerprint: str) -> None:
        """Have the store told what is known of a request."""
        self.memory[fingerprint].is_own = True
        self._pending.note_changed(fingerprint)

    def forget(self, fingerprint: str) -> None:
        """Remember a request no longer, neither here nor in the store."""
        self._forgotten(fingerprint, self.memory.pop(fingerprint))

    def take_news(self, most_weak: int) -> News:
        """Give what the store is to be told, once.

        Args:
            most_weak: how many requests may be told of that met ends at one
                moment only; the others are not told of.
        """
        for fingerprint, known in self.memory.take_outdated():
            self._forgotten(fingerprint, known)
        weak = [
            changed
            for changed in self._pending.changed
            if not self.memory[changed].lasts
        ]
        for untold in weak[most_weak:]:
            self.memory[untold].is_own = False
            self._pending.forget(untold)
        return self._pending.take(self.record_of)

    def tell_again(self, news: News) -> None:
        """Note that the store did not take some news."""
        for record in news.records:
            if record.fingerprint in self.memory:
                self.tell(record.fingerprint)
        for fingerprint in news.gone:
            if fingerprint not in self.memory:
                self._pending.note_gone(fingerprint)

    def take(
        self, record: SuspicionRecord, revision: int
    ) -> RequestStanding | None:
        """Take what the store holds of a request.

        Returns:
            The standing of the request, if that is another one now.
        """
        known = self.memory.find(record.fingerprint)
        if known is not None and known.stored == (record, revision):
            return None
        before = known.standing if known else None
        if known is None or RequestStanding.RELEASED in {
            before,
            record.standing,
        }:
            # The last that was written counts.
            known = self.memory.begin(record.fingerprint)
            self._pending.forget(record.fingerprint)
        known.take(record, revision, self._clock.now_ms())
        self._compare(known, record)
        return None if known.standing is before else known.standing

    def drop(self, fingerprint: str) -> bool:
        """Forget a request that the store holds no more; tell if known."""
        self._pending.forget(fingerprint)
        return fingerprint in self.memory and bool(
            self.memory.pop(fingerprint),
        )

    def keep(self, fingerprints: Iterable[str], told_age_ms: float) -> None:
        """Compare with all that the store holds.

        What it lacks was removed while this daemon heard nothing, or is
        forgotten by a store that came back from an older copy. A request that
        was let through again is still there as such for ten minutes, so what
        is known is younger than that it is told once more.

        Args:
            fingerprints: that the store holds.
            told_age_ms: since the store last told this daemon anything.
        """
        for fingerprint in set(self.memory) - set(fingerprints):
            known = self.memory[fingerprint]
            if told_age_ms >= WEAK_MS or not (known.is_own or known.lasts):
                self.drop(fingerprint)
            else:
                known.stored = None
                self.tell(fingerprint)

    def _compare(self, known: Suspicion, told: SuspicionRecord) -> None:
        """Tell again what is known beyond what the store holds, or nothing."""
        if known.record(told.fingerprint) == told:
            self._pending.forget(told.fingerprint)
        elif known.is_own and known.standing is not told.standing:
            # Another daemon wrote over it what it had known until then.
            self.tell(told.fingerprint)

    def _forgotten(self, fingerprint: str, known: Suspicion) -> None:
        """Have the store forget it too, if this daemon may say so."""
        self._pending.forget(fingerprint)
        if known.is_own or known.lasts:
            self._pending.note_gone(fingerprint)
