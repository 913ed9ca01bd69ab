"""State machine of the graceful shutdown of a daemon."""

import enum
import math
from collections.abc import Callable
from typing import Final

import attrs

_TTL_MARGIN_MS: Final = 500


@enum.unique
class StopPhase(enum.Enum):
    """Phase of the graceful shutdown of a daemon.

    `SERVING`: no graceful shutdown is requested. `ANNOUNCING`: the members are informed that
    the daemon leaves. `LINGERING`: all members are informed, and callers may
    still connect until the longest `ttl_ms` of an entry answer has passed.
    `DRAINED`: no more callers are expected, and termination is not requested
    yet. `CLOSING`: the listeners are closed and requests in progress complete.
    `ENDED`: the process may exit.
    """

    SERVING = 'serving'
    ANNOUNCING = 'announcing'
    LINGERING = 'lingering'
    DRAINED = 'drained'
    CLOSING = 'closing'
    ENDED = 'ended'


def _no_delay() -> float:
    """Return a propagation delay within the margin."""
    return 0


@attrs.frozen(kw_only=True)
class StopTimes:
    """Time that a daemon has left for requests.

    All times are infinite while the exit of the process is not requested.

    Attributes:
        abort_in_ms: time until requests in progress are aborted.
        estimate_left_ms: time for which requests may still be admitted by their
            expected latency.
    """

    abort_in_ms: float = math.inf
    estimate_left_ms: float = math.inf


@attrs.frozen(kw_only=True)
class StopPolicy:
    """Time limits of a graceful shutdown.

    Attributes:
        entry_ttl_ms: time for which callers may cache an entry answer.
        stop_ms: timeout of the whole graceful shutdown, after which requests
            in progress are aborted.
        announce_ms: timeout of the announcement to the members.
        repeat_forces_end: whether a second request to terminate
            aborts the requests in progress, as for an interactive interrupt.
        estimate_ms: time after the request to exit in which requests of
            callers may be admitted by their expected latency; later requests
            need a timeout that ends before the abort.
        propagation_ms: function that returns the time other daemons may need
            to learn of the leave, beyond a margin of half a second; called
            when the announcement is complete.
    """

    entry_ttl_ms: float
    stop_ms: float
    announce_ms: float = 5000
    repeat_forces_end: bool = True
    estimate_ms: float = math.inf
    propagation_ms: Callable[[], float] = _no_delay


@attrs.frozen(kw_only=True)
class StopConditions:
    """Conditions on which the phase of a graceful shutdown depends.

    Attributes:
        now_ms: current time.
        announced: whether every member that responds knows of the leave.
        running: number of requests in progress.
    """

    now_ms: float
    announced: bool
    running: int


@attrs.define(kw_only=True)
class GracefulStop:
    """Graceful shutdown of one daemon.

    Attributes:
        phase: current phase of the graceful shutdown.
        aborted_requests: number of requests that were in progress when the
            graceful shutdown was forced or timed out.
    """

    phase: StopPhase = StopPhase.SERVING
    aborted_requests: int = 0
    _policy: StopPolicy
    _end_requested: bool = False
    _forced: bool = False
    _announcing_since_ms: float = 0
    _end_ms: float = 0
    _linger_until_ms: float = 0

    @property
    def is_draining(self) -> bool:
        """Whether callers should connect to other daemons."""
        return self.phase is not StopPhase.SERVING

    @property
    def exit_status(self) -> int:
        """Exit status of the process: 0 if no request was aborted, else 1."""
        return 1 if self.aborted_requests else 0

    def times(self, now_ms: float) -> StopTimes:
        """Return the time that is left for requests."""
        if not self._end_requested:
            return StopTimes()
        since_ms = now_ms - self._end_ms
        return StopTimes(
            abort_in_ms=max(0, self._policy.stop_ms - since_ms),
            estimate_left_ms=max(0, self._policy.estimate_ms - since_ms),
        )

    def drain(self, now_ms: float) -> None:
        """Start to drain; requests are still served until `end` is called."""
        if self.phase is StopPhase.SERVING:
            self.phase = StopPhase.ANNOUNCING
            self._announcing_since_ms = now_ms

    def end(self, now_ms: float) -> None:
        """Request the exit of the process after the requests in progress.

        A second call aborts the requests in progress if the policy allows this.
        """
        self.drain(now_ms)
        self._forced = self._end_requested and self._policy.repeat_forces_end
        if not self._end_requested:
            self._end_requested = True
            self._end_ms = now_ms

    def step(self, conditions: StopConditions) -> StopPhase:
        """Advance the graceful shutdown as far as the conditions allow."""
        if self._must_abort(conditions):
            self.phase = StopPhase.ENDED
            self.aborted_requests = conditions.running
        while self._is_phase_over(conditions):
            self.phase = _NEXT_PHASE[self.phase]
            if self.phase is StopPhase.LINGERING:
                ttl_ms = self._policy.entry_ttl_ms + _TTL_MARGIN_MS
                informed_ms = conditions.now_ms + self._policy.propagation_ms()
                self._linger_until_ms = informed_ms + ttl_ms
        return self.phase

    def _must_abort(self, conditions: StopConditions) -> bool:
        if self.phase is StopPhase.ENDED or not self._end_requested:
            return False
        timed_out = conditions.now_ms - self._end_ms >= self._policy.stop_ms
        return self._forced or timed_out

    def _is_phase_over(self, conditions: StopConditions) -> bool:
        """Return whether the current phase of the graceful shutdown is over."""
        if self.phase is StopPhase.ANNOUNCING:
            waited_ms = conditions.now_ms - self._announcing_since_ms
            return conditions.announced or waited_ms >= self._policy.announce_ms
        if self.phase is StopPhase.LINGERING:
            return conditions.now_ms >= self._linger_until_ms
        if self.phase is StopPhase.DRAINED:
            return self._end_requested
        return self.phase is StopPhase.CLOSING and not conditions.running


_NEXT_PHASE: Final = {
    StopPhase.ANNOUNCING: StopPhase.LINGERING,
    StopPhase.LINGERING: StopPhase.DRAINED,
    StopPhase.DRAINED: StopPhase.CLOSING,
    StopPhase.CLOSING: StopPhase.ENDED,
}


def graceful_stop(policy: StopPolicy) -> GracefulStop:
    """Build the graceful shutdown state of a daemon that is serving."""
    return GracefulStop(policy=policy)
