"""A graceful stop: cut no request, and say so if one had to be cut."""

import enum
from collections.abc import Callable
from typing import Final

import attrs

_TTL_MARGIN_MS: Final = 500


@enum.unique
class StopPhase(enum.Enum):
    """How far a daemon's stop has come.

    `SERVING`: no stop is asked for. `ANNOUNCING`: the members are being
    told. `LINGERING`: all know; callers may still come until the longest
    `ttl_ms` that was given out has passed. `DRAINED`: nobody should come any
    more, and no end was asked for yet. `CLOSING`: it listens no more and
    finishes what runs. `ENDED`: the process may go.
    """

    SERVING = 'serving'
    ANNOUNCING = 'announcing'
    LINGERING = 'lingering'
    DRAINED = 'drained'
    CLOSING = 'closing'
    ENDED = 'ended'


def _no_longer() -> float:
    """Tell that others hear of a leave within the margin."""
    return 0


@attrs.frozen(kw_only=True)
class StopPolicy:
    """Bounds of a stop.

    Attributes:
        entry_ttl_ms: how long callers may keep an entry answer.
        announce_ms: how long telling the members may take.
        asked_twice_ends: whether to end at once if asked to end again, as a
            person does who will not wait.
        stop_ms: the whole stop, after which what runs is cut.
        hear_ms: gives how long other daemons may take to hear of the leave
            beyond a margin of half a second, asked when they are told.
    """

    entry_ttl_ms: float
    stop_ms: float
    announce_ms: float = 5000
    asked_twice_ends: bool = True
    hear_ms: Callable[[], float] = _no_longer


@attrs.frozen(kw_only=True)
class StopFacts:
    """What a stop looks at.

    Attributes:
        now_ms: the time.
        told: whether every member knows of the leave, or does not answer.
        running: requests in progress.
    """

    now_ms: float
    told: bool
    running: int


@attrs.define(kw_only=True)
class GracefulStop:
    """The stop of one daemon.

    Attributes:
        phase: how far it has come.
        cut: requests that were in progress when it had to end, else 0.
    """

    phase: StopPhase = StopPhase.SERVING
    cut: int = 0
    _policy: StopPolicy
    _ending: bool = False
    _forced: bool = False
    _asked_ms: float = 0
    _ending_ms: float = 0
    _quiet_ms: float = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the daemon should get no new callers."""
        return self.phase is not StopPhase.SERVING

    @property
    def exit_status(self) -> int:
        """What the process should end with: 0 if nothing was cut."""
        return 1 if self.cut else 0

    def drain(self, now_ms: float) -> None:
        """Have callers go elsewhere; the daemon serves on until `end`."""
        if self.phase is StopPhase.SERVING:
            self.phase = StopPhase.ANNOUNCING
            self._asked_ms = now_ms

    def end(self, now_ms: float) -> None:
        """Have the daemon end gracefully; see the policy for asking again."""
        self.drain(now_ms)
        self._forced = self._ending and self._policy.asked_twice_ends
        if not self._ending:
            self._ending = True
            self._ending_ms = now_ms

    def step(self, facts: StopFacts) -> StopPhase:
        """Move on as far as the facts allow."""
        if self._must_end(facts):
            self.phase = StopPhase.ENDED
            self.cut = facts.running
        while self._passes(facts):
            self.phase = _FOLLOWING[self.phase]
            if self.phase is StopPhase.LINGERING:
                ttl_ms = self._policy.entry_ttl_ms + _TTL_MARGIN_MS
                heard_ms = facts.now_ms + self._policy.hear_ms()
                self._quiet_ms = heard_ms + ttl_ms
        return self.phase

    def _must_end(self, facts: StopFacts) -> bool:
        if self.phase is StopPhase.ENDED or not self._ending:
            return False
        late = facts.now_ms - self._ending_ms >= self._policy.stop_ms
        return self._forced or late

    def _passes(self, facts: StopFacts) -> bool:
        """Tell whether the phase is over."""
        if self.phase is StopPhase.ANNOUNCING:
            waited_ms = facts.now_ms - self._asked_ms
            return facts.told or waited_ms >= self._policy.announce_ms
        if self.phase is StopPhase.LINGERING:
            return facts.now_ms >= self._quiet_ms
        if self.phase is StopPhase.DRAINED:
            return self._ending
        return self.phase is StopPhase.CLOSING and not facts.running


_FOLLOWING: Final = {
    StopPhase.ANNOUNCING: StopPhase.LINGERING,
    StopPhase.LINGERING: StopPhase.DRAINED,
    StopPhase.DRAINED: StopPhase.CLOSING,
    StopPhase.CLOSING: StopPhase.ENDED,
}


def graceful_stop(policy: StopPolicy) -> GracefulStop:
    """Build the stop of a daemon that was not asked to stop."""
    return GracefulStop(policy=policy)
