"""How many repeats this daemon may send to each service.

All daemons together may send to a service, within any window, repeats of a
share of its requests and a fixed number more. Each daemon keeps to the same
share of its own requests and to an equal part of the fixed number, so the sum
holds without a word between them.
"""

from collections import deque
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._fleet_size import FleetSize

# What is kept back for windows that begin between two counts, and for a
# daemon that joined and is not known here yet.
_MARGIN: Final = 0.8


@attrs.frozen(kw_only=True)
class RepeatPolicy:
    """What all daemons together may repeat.

    Attributes:
        ratio: repeats for each request.
        fixed: repeats in a window beyond the ratio.
        window_ms: the length of the window.
    """

    ratio: float
    fixed: float
    window_ms: float


@attrs.define(kw_only=True)
class _Tally:
    """When requests and repeats were sent to one service."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)

    def forget(self, before_ms: float) -> None:
        """Drop what lies before a time."""
        for sent in (self.requests, self.repeats):
            while sent and sent[0] < before_ms:
                sent.popleft()


@attrs.define(kw_only=True)
class Allowances:
    """Counts requests and repeats of each service.

    Attributes:
        policy: what all daemons together may repeat.
    """

    policy: RepeatPolicy
    _clock: Clock
    _fleet: FleetSize
    _began_ms: float
    _tallies: dict[str, _Tally] = attrs.field(factory=dict)

    def note_request(self, service: str) -> None:
        """Note the first send of a request to a service."""
        self._tally(service).requests.append(self._clock.now_ms())

    def take(self, service: str) -> bool:
        """Pay for one repeat, if it is allowed now."""
        tally = self._tally(service)
        if len(tally.repeats) + 1 > self._allowed(tally):
            return False
        tally.repeats.append(self._clock.now_ms())
        return True

    def _allowed(self, tally: _Tally) -> float:
        return self.policy.ratio * len(tally.requests) + self._fixed()

    def _fixed(self) -> float:
        """Give this daemon's part of the fixed number.

        None in the first window after the start: the same daemon may have
        used its part before it was started again.
        """
        age_ms = self._clock.now_ms() - self._began_ms
        if age_ms < self.policy.window_ms or not self._fleet.known:
            return 0
        return _MARGIN * self.policy.fixed / self._fleet.most

    def _tally(self, service: str) -> _Tally:
        tally = self._tallies.setdefault(service, _Tally())
        tally.forget(self._clock.now_ms() - self.policy.window_ms)
        return tally


def allowances(
    policy: RepeatPolicy,
    clock: Clock,
    fleet: FleetSize,
) -> Allowances:
    """Build the allowances of a daemon that starts now."""
    return Allowances(
        policy=policy,
        clock=clock,
        fleet=fleet,
        began_ms=clock.now_ms(),
    )
