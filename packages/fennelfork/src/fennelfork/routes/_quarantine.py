"""Requests under which backend servers ended, by their fingerprints.

A request may crash each server that runs it, and come again at any daemon.
What is certain of such a request is that no server ever answers it, so one
answer clears a request, and ends that came together prove nothing: when many
servers crash for another reason, every request under way has met several of
them. So a request under suspicion is risked on one server at a time. If two
such servers end as well, a second or more apart and with no answer between, it
is refused. That costs an innocent request one answer's time, and a guilty one
ends few servers after its first try.
"""

from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._suspicion import (
    RequestStanding,
    ServerEnd,
    Suspicion,
    SuspicionRecord,
)
from fennelfork.routes._suspicion_exchange import SuspicionExchange
from fennelfork.routes._suspicion_memory import suspicion_memory
from fennelfork.routes._suspicion_news import PendingNews

# Whoever was put into quarantine by mistake is cleared by one trial, once those
# servers are back that ended together.
_TRIAL_AFTER_MS: Final = 30_000.0
# The request or the servers may have been mended. Up to two tries may have
# reached servers after the third end, before all daemons knew.
_MOST_TRIALS: Final = 1


@attrs.frozen(kw_only=True)
class Quarantine:
    """What this daemon knows of requests that ended servers.

    Attributes:
        exchange: tells other daemons of it, and takes what they tell.
    """

    exchange: SuspicionExchange
    _clock: Clock
    _wall: Clock

    @property
    def records(self) -> tuple[SuspicionRecord, ...]:
        """All that is known."""
        return self.exchange.records

    def find(self, fingerprint: str) -> Suspicion | None:
        """Give what is held against a request, if anything."""
        known = self.exchange.memory.find(fingerprint)
        if known is None or known.standing is RequestStanding.RELEASED:
            return None
        return known

    def note_end(
        self, fingerprint: str, end: ServerEnd
    ) -> RequestStanding | None:
        """Note the end of a server under a request.

        Returns:
            The standing of the request, if that is another one now.
        """
        known = self.find(fingerprint)
        before = known.standing if known else None
        if known is None:
            known = self.exchange.memory.begin(fingerprint)
        ended_ms = int(self._wall.now_ms())
        if known.add(end, self._clock.now_ms(), ended_ms):
            self.exchange.tell(fingerprint)
        return None if known.standing is before else known.standing

    def note_answer(
        self,
        fingerprint: str,
        service: str,
        *,
        alone: bool,
    ) -> bool:
        """Note that a service answered a request; tell if that clears it.

        Args:
            fingerprint: of the request.
            service: whose server answered.
            alone: whether no other server was risked with it. Such an answer
                of a service that lost servers clears of all of them.
        """
        known = self.find(fingerprint)
        if known is None:
            return False
        cleared = alone and service in known.services
        if not (cleared or known.answered_by(service)):
            return False
        return self.release(fingerprint)

    def release(self, fingerprint: str) -> bool:
        """Hold nothing against a request any more; tell if anything was."""
        known = self.find(fingerprint)
        if known is None:
            return False
        if known.lasts:
            # Said and not only removed: who hears of nothing now has to be
            # able to tell it from what a store forgot.
            known.release(self._clock.now_ms())
            self.exchange.tell(fingerprint)
        else:
            self.exchange.forget(fingerprint)
        return True

    def trial_due(self, fingerprint: str) -> bool:
        """Tell whether a request in quarantine may be tried once more."""
        known = self.find(fingerprint)
        if known is None or known.trials >= _MOST_TRIALS:
            return False
        return self._clock.now_ms() - known.since_ms >= _TRIAL_AFTER_MS


def quarantine(clock: Clock, wall: Clock) -> Quarantine:
    """Build what a daemon knows that starts now: nothing.

    Args:
        clock: of the daemon.
        wall: time of day, for what outlives the daemon.
    """
    exchange = SuspicionExchange(
        memory=suspicion_memory(clock, wall),
        clock=clock,
        pending=PendingNews(),
    )
    return Quarantine(exchange=exchange, clock=clock, wall=wall)
