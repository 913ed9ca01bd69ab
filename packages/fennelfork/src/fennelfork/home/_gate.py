"""What a root refuses at once, by what the homes can take."""

from typing import Final

import attrs
from returns.result import Result, Success

from fennelfork._clock import Clock
from fennelfork._verdict import Failure
from fennelfork.home._admission import draw, overloaded
from fennelfork.home._fair import Flow

# A level that no home has confirmed for so long says nothing any more.
_TRUSTED_MS: Final = 1000.0
# Below this, so few would get through that nobody learnt of better times.
_LOWEST: Final = 0.01


@attrs.frozen(kw_only=True)
class HomeLevel:
    """Which part of a flow's requests a home takes.

    Attributes:
        front: the front that is asked.
        flow: whose requests.
        home: name of the daemon.
        level: the part, between 0 and 1.
    """

    front: str
    flow: Flow
    home: str
    level: float


@attrs.frozen(kw_only=True)
class _Told:
    level: float
    at_ms: float


@attrs.define(kw_only=True)
class EntryGate:
    """Refuses at the root what some home would refuse.

    A query needs every home, so the lowest level counts. A request's draw is
    the same everywhere: what one root lets in, all homes take.
    """

    _clock: Clock
    _told: dict[tuple[str, Flow], dict[str, _Told]] = attrs.field(factory=dict)

    def learn(self, told: HomeLevel) -> None:
        """Take what a home says; a level of 1 is only forgotten."""
        levels = self._told.setdefault((told.front, told.flow), {})
        if told.level < 1:
            levels[told.home] = _Told(
                level=told.level,
                at_ms=self._clock.now_ms(),
            )
        else:
            levels.pop(told.home, None)
        if not levels:
            self._told.pop((told.front, told.flow))

    def level(self, front: str, flow: Flow) -> float:
        """Give the part of a flow's requests that is let in."""
        oldest_ms = self._clock.now_ms() - _TRUSTED_MS
        levels = self._told.get((front, flow), {})
        trusted = [
            told.level for told in levels.values() if told.at_ms >= oldest_ms
        ]
        return max(_LOWEST, min(trusted, default=1))

    def judge(
        self,
        front: str,
        flow: Flow,
        request_id: str,
    ) -> Result[float, Failure]:
        """Decide whether a request is let in.

        Returns:
            The level at which it was let in, or a refusal that is `NOT_RUN`.
        """
        level = self.level(front, flow)
        if draw(request_id) >= level:
            return overloaded(request_id)
        return Success(level)


def entry_gate(clock: Clock) -> EntryGate:
    """Build a gate that lets everything in."""
    return EntryGate(clock=clock)
