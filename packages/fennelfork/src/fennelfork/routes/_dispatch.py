"""One request on its way: what is sent when, and when to stop waiting."""

import enum
import math
from collections.abc import Collection
from typing import Final, Generic, TypeVar

import attrs

from fennelfork._verdict import Failure
from fennelfork.routes._caution import caution
from fennelfork.routes._copies import Copies
from fennelfork.routes._leg import Leg
from fennelfork.routes._pace import Pace
from fennelfork.routes._route import Route, least_parts
from fennelfork.routes._send import Send
from fennelfork.routes._sender import DispatchParts, Sender

_Part = TypeVar('_Part')

# Before the aim, so that the answer is with its caller by then: a connection
# takes the caller 6 ms, request and answer 6 ms, merging and waiting for the
# processor the rest. Of what callers are owed (a late answer counts a tenth, one
# with parts left out the square of the share that is in), 26 ms brought 0.992
# and 0.983 with nine daemons instead of 0.989 and 0.979 with 14 ms; where there
# is less processor time, 36 ms brought 0.983 and 26 ms 0.980.
_ANSWER_MS: Final = 36.0
# Before the deadline, so that the answer still finds its caller.
_DEADLINE_MS: Final = 30.0


@enum.unique
class Ending(enum.Enum):
    """Why a request is not waited for any longer.

    `SETTLED`: every part is in or lost. `PARTIAL`: the aim is reached and the
    parts that are in suffice. `TIMEOUT`: its time is over.
    """

    SETTLED = 'settled'
    PARTIAL = 'partial'
    TIMEOUT = 'timeout'


@attrs.define(kw_only=True)
class Dispatch(Generic[_Part]):
    """Drives one request; told what happens, it says what to send.

    Attributes:
        route: of the request, as it was when the request came.
        pace: of the route.
        legs: one for each service that it goes to.
        hedges: copies that were sent because an answer was late.
        retries: copies that were sent after a failure.
    """

    route: Route
    pace: Pace
    legs: dict[str, Leg[_Part]]
    hedges: int = 0
    retries: int = 0
    _copies: Copies
    _cut_ms: float
    _end_ms: float

    @property
    def included(self) -> int:
        """How many parts are in."""
        return sum(leg.part is not None for leg in self.legs.values())

    @property
    def suffices(self) -> bool:
        """Whether the parts that are in make a success."""
        return self.included >= least_parts(self.route.target)

    @property
    def end_ms(self) -> float:
        """When its time is over."""
        return self._end_ms

    def start(self, now_ms: float) -> list[Send]:
        """Send the first copy to each service, or to one for now."""
        return self._copies.first(self.legs.values(), now_ms)

    def answered(self, attempt: int, part: _Part, now_ms: float) -> list[Send]:
        """Take the answer to a copy, and send what waited for it.

        Only the first answer of a service counts.
        """
        leg = self._leg_of(attempt)
        if leg is None:
            return []
        leg.answered(attempt, part, now_ms)
        return self._copies.after_answer(attempt, now_ms)

    def failed(
        self, attempt: int, failure: Failure, now_ms: float
    ) -> list[Send]:
        """Take the failure of a copy, and send another where that is allowed."""
        leg = self._leg_of(attempt)
        if leg is None:
            return []
        leg.failed(attempt, failure, now_ms)
        in_time = now_ms < self._end_ms
        sends = self._copies.after_failure(
            leg, attempt, failure, now_ms, in_time=in_time
        )
        self.retries += len(sends)
        return sends

    def late(self, now_ms: float) -> list[Send]:
        """Send second copies where the first is late."""
        sends = []
        for leg in self.legs.values():
            if leg.waiting and now_ms >= leg.hedge_ms:
                leg.hedge_ms = math.inf
                sends.extend(self._copies.hedge(leg, now_ms))
        self.hedges += len(sends)
        return sends

    def ending(self, now_ms: float) -> Ending | None:
        """Tell whether and why to stop waiting."""
        if all(leg.settled for leg in self.legs.values()):
            return Ending.SETTLED
        if now_ms >= self._end_ms:
            return Ending.TIMEOUT
        if now_ms >= self._cut_ms and self.suffices:
            return Ending.PARTIAL
        return None

    def wake_ms(self, now_ms: float) -> float:
        """Give the next time at which something is due."""
        due = [leg.hedge_ms for leg in self.legs.values() if leg.waiting]
        if now_ms < self._cut_ms:
            due.append(self._cut_ms)
        return min(self._end_ms, *due) if due else self._end_ms

    def _leg_of(self, attempt: int) -> Leg[_Part] | None:
        for leg in self.legs.values():
            if attempt in leg.running:
                return leg
        return None


def dispatch(
    route: Route,
    services: tuple[str, ...],
    parts: DispatchParts,
    pace: Pace,
    times: tuple[float, float],
    *,
    suspect_services: Collection[str] = (),
) -> Dispatch[_Part]:
    """Build the dispatch of one request.

    Args:
        route: of the request.
        services: that it goes to.
        parts: what every dispatch shares.
        pace: of the route.
        times: when the request came and how long its caller waits, in
            milliseconds.
        suspect_services: those whose servers ended under this request before;
            they are risked first.
    """
    came_ms, left_ms = times
    kept_ms = min(left_ms, route.timeout_ms)
    ordered = sorted(services, key=lambda one: one not in suspect_services)
    return Dispatch(
        route=route,
        pace=pace,
        legs={service: Leg(service=service) for service in ordered},
        copies=Copies(
            idempotent=route.idempotent,
            sender=Sender(parts=parts, pace=pace, attempts=route.attempts),
            caution=caution(suspected=bool(suspect_services)),
        ),
        cut_ms=came_ms + route.aim_ms - _ANSWER_MS,
        end_ms=came_ms + max(kept_ms - _DEADLINE_MS, 0),
    )
