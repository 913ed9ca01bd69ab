"""What a root refuses at once, by what the homes can take."""

from typing import Final

import attrs
from returns.result import Result, Success

from fennelfork._clock import Clock
from fennelfork._verdict import Failure
from fennelfork.home._admission import hash_fraction, refuse_overload
from fennelfork.home._fair import Flow

# A level that no home has confirmed for so long says nothing any more.
_LEVEL_LIFETIME_MS: Final = 1000.0
# Below this, so few would get through that nobody learnt of better times.
_MIN_LEVEL: Final = 0.01


@attrs.frozen(kw_only=True)
class AdmissionLevel:
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
class _ReportedLevel:
    level: float
    at_ms: float


@attrs.define(kw_only=True)
class EntryGate:
    """Refuses at the root what some home would refuse.

    A query needs every home, so the lowest level counts. A request's draw is
    the same everywhere: what one root lets in, all homes take.
    """

    _clock: Clock
    _reported_levels: dict[tuple[str, Flow], dict[str, _ReportedLevel]] = (
        attrs.field(factory=dict)
    )

    def record_level(self, reported: AdmissionLevel) -> None:
        """Take what a home says; a level of 1 is only forgotten."""
        levels = self._reported_levels.setdefault(
            (reported.front, reported.flow), {}
        )
        if reported.level < 1:
            levels[reported.home] = _ReportedLevel(
                level=reported.level,
                at_ms=self._clock.now_ms(),
            )
        else:
            levels.pop(reported.home, None)
        if not levels:
            self._reported_levels.pop((reported.front, reported.flow))

    def level(self, front: str, flow: Flow) -> float:
        """Give the part of a flow's requests that is let in."""
        oldest_ms = self._clock.now_ms() - _LEVEL_LIFETIME_MS
        levels = self._reported_levels.get((front, flow), {})
        trusted = [
            reported.level
            for reported in levels.values()
            if reported.at_ms >= oldest_ms
        ]
        return max(_MIN_LEVEL, min(trusted, default=1))

    def admit(
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
        if hash_fraction(request_id) >= level:
            return refuse_overload(request_id)
        return Success(level)


def entry_gate(clock: Clock) -> EntryGate:
    """Build a gate that lets everything in."""
    return EntryGate(clock=clock)
