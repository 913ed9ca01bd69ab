"""Admission control of a root daemon, based on reports of home daemons."""

from typing import Final

import attrs
from returns.result import Result, Success

from fennelfork._clock import Clock
from fennelfork._verdict import Failure
from fennelfork.home._admission import refuse_overload
from fennelfork.shares import Flow, hash_fraction

# Reported levels expire after this time.
_LEVEL_LIFETIME_MS: Final = 1000.0
# A minimum keeps some requests flowing, whose answers report new levels. With
# fewer requests, root daemons would not learn that the overload has ended.
_MIN_LEVEL: Final = 0.01


@attrs.frozen(kw_only=True)
class AdmissionLevel:
    """Share of the requests of a flow that a home daemon admits.

    Attributes:
        front: name of the front.
        flow: flow of the requests.
        home: name of the home daemon.
        level: share of admitted requests, between 0 and 1.
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
    """Rejects requests at the root daemon that a home daemon would reject.

    A query needs all home daemons, so the lowest level applies. Decisions
    depend on the hash of the request id, so that all daemons agree.
    """

    _clock: Clock
    _reported_levels: dict[tuple[str, Flow], dict[str, _ReportedLevel]] = (
        attrs.field(factory=dict)
    )

    def record_level(self, reported: AdmissionLevel) -> None:
        """Record the admission level that a home daemon reported.

        A level of 1 removes the entry.
        """
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
        """Return the share of the requests of a flow that is admitted."""
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
        """Admit or reject a request.

        Returns:
            The current level, or a failure with the verdict `NOT_RUN`.
        """
        level = self.level(front, flow)
        if hash_fraction(request_id) >= level:
            return refuse_overload(request_id)
        return Success(level)


def entry_gate(clock: Clock) -> EntryGate:
    """Create an admission gate that admits all requests at first."""
    return EntryGate(clock=clock)
