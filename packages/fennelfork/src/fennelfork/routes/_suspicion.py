"""What is known of one request under which backend servers ended."""

import enum
import math
from typing import Final

import attrs

# Ends within this time tell the same thing once: servers that crash one after
# the other for a reason of their own meet many copies of one request.
_ROUND_MS: Final = 1000.0
# One round may be chance, as a server may crash for another reason while it has
# the one copy that was risked; a second one in a row hardly is.
_ROUNDS: Final = 2
_ENDS: Final = 3
# More say nothing new; all daemons hold them.
_MOST_ENDS: Final = 16


@enum.unique
class RequestStanding(enum.StrEnum):
    """How a request is treated that ended servers.

    `SUSPECTED`: risked on one server at a time, until one has answered it.
    `QUARANTINED`: refused. `RELEASED`: like any other again, whoever still
    holds something against it.
    """

    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'
    RELEASED = 'released'


@attrs.frozen(kw_only=True)
class ServerEnd:
    """The end of a backend server that had a request.

    Attributes:
        run: of the server.
        service: that it belonged to.
        alone: whether the request had ended a server before and so was sent
            to this one only. Such an end cannot be one of many that have a
            common cause.
    """

    run: str
    service: str
    alone: bool


@attrs.frozen(kw_only=True)
class SuspicionRecord:
    """What daemons tell each other of a request.

    Attributes:
        fingerprint: of the request.
        standing: of it.
        ends: of servers, the first ones.
        rounds: how many of them, apart in time, it met alone.
        trials: how often it was tried since it is in quarantine.
        ended_ms: time of day of the last end, by the clock of whoever saw it.
    """

    fingerprint: str
    standing: RequestStanding
    ends: tuple[ServerEnd, ...] = ()
    rounds: int = 0
    trials: int = 0
    ended_ms: int = 0

    @property
    def lasts(self) -> bool:
        """Whether it matters beyond the life of the daemon that tells it."""
        return _lasts(self.standing, self.rounds)


@attrs.define(kw_only=True)
class Suspicion:
    """What this daemon knows of one request.

    Attributes:
        standing: how it is treated.
        rounds: ends that it met alone, apart in time.
        trials: sends of it since it is in quarantine.
        since_ms: when this daemon learned its standing.
        heard_ms: when this daemon last saw or was told of an end.
        ended_ms: time of day of the last end.
        stored: what the store holds of it and by which revision, if anything.
        is_own: whether this daemon told the store of it.
    """

    standing: RequestStanding = RequestStanding.SUSPECTED
    rounds: int = 0
    trials: int = 0
    since_ms: float = 0
    heard_ms: float = 0
    ended_ms: int = 0
    stored: tuple[SuspicionRecord, int] | None = None
    is_own: bool = False
    _ends: dict[str, ServerEnd] = attrs.field(factory=dict)
    _round_ms: float = -math.inf

    @property
    def ends(self) -> tuple[ServerEnd, ...]:
        """The ends that nothing speaks against."""
        return tuple(self._ends.values())

    @property
    def services(self) -> frozenset[str]:
        """Whose servers ended."""
        return frozenset(end.service for end in self._ends.values())

    @property
    def lasts(self) -> bool:
        """Whether what is known matters beyond the life of this daemon."""
        return _lasts(self.standing, self.rounds)

    def add(self, end: ServerEnd, now_ms: float, ended_ms: int) -> bool:
        """Note an end that this daemon saw; tell whether it was new."""
        if not self._note(end):
            return False
        self.heard_ms = now_ms
        self.ended_ms = max(self.ended_ms, ended_ms)
        if end.alone and now_ms - self._round_ms >= _ROUND_MS:
            self._round_ms = now_ms
            self.rounds += 1
        self._judge(now_ms)
        return True

    def take(
        self,
        record: SuspicionRecord,
        revision: int,
        now_ms: float,
    ) -> None:
        """Take what the store holds, by which revision.

        When an end is heard of says nothing of when it was, so rounds are
        counted by those alone who saw them. One that is heard of now was not
        later than now.
        """
        self.stored = (record, revision)
        if record.standing is RequestStanding.RELEASED:
            self.release(now_ms)
            return
        if any([self._note(end) for end in record.ends]):
            self.heard_ms = now_ms
        self.ended_ms = max(self.ended_ms, record.ended_ms)
        if record.rounds > self.rounds:
            self.rounds = record.rounds
            self._round_ms = now_ms
        self.trials = max(self.trials, record.trials)
        if record.standing is RequestStanding.QUARANTINED:
            self._turn(record.standing, now_ms)
        self._judge(now_ms)

    def answered_by(self, service: str) -> bool:
        """Note an answer of a service; tell if nothing is left against it.

        A request that ends whatever runs it has no answer.
        """
        for run, end in tuple(self._ends.items()):
            if end.service == service:
                self._ends.pop(run)
        return not self._ends

    def release(self, now_ms: float) -> None:
        """Hold nothing against it any more."""
        self._ends.clear()
        self.rounds = 0
        self.heard_ms = now_ms
        self._turn(RequestStanding.RELEASED, now_ms)

    def trial(self, fingerprint: str) -> SuspicionRecord:
        """Give what others are to know while it is tried once more."""
        known = self.record(fingerprint)
        return attrs.evolve(known, trials=known.trials + 1)

    def record(self, fingerprint: str) -> SuspicionRecord:
        """Give what to tell other daemons."""
        return SuspicionRecord(
            fingerprint=fingerprint,
            standing=self.standing,
            ends=self.ends,
            rounds=self.rounds,
            trials=self.trials,
            ended_ms=self.ended_ms,
        )

    def _note(self, end: ServerEnd) -> bool:
        """Remember an end; tell whether it was new."""
        if end.run in self._ends:
            return False
        self._ends[end.run] = end
        if len(self._ends) > _MOST_ENDS:
            # Those that it met alone say most.
            least = min(self._ends, key=lambda run: self._ends[run].alone)
            self._ends.pop(least)
        return True

    def _judge(self, now_ms: float) -> None:
        if self.rounds >= _ROUNDS and len(self._ends) >= _ENDS:
            self._turn(RequestStanding.QUARANTINED, now_ms)

    def _turn(self, standing: RequestStanding, now_ms: float) -> None:
        if self.standing is not standing:
            self.standing = standing
            self.since_ms = now_ms


def _lasts(standing: RequestStanding, rounds: int) -> bool:
    """Tell whether a request's standing rests on more than one moment."""
    return rounds > 0 or standing is not RequestStanding.SUSPECTED
