"""How many requests a daemon works on at once, by what its servers can take.

A request that is one too many costs every other one its time, and ends
without enough parts after its servers have worked on it. What is refused at
once has cost nothing and may come back. The limit follows what is seen, by
additive increase and multiplicative decrease: there is none until requests
fail because servers turned them away, or this process falls behind. At five
times the usual traffic for 8 s, callers got 0.50 and 0.38 of what they are owed
without a limit, with 24 and 33 of 100 requests failed; with it 0.68 and 0.66,
with one of 100 failed and 17 refused at once.
"""

from typing import Any, Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._dispatch import Dispatch
from fennelfork.routes._route import Route, services_of

# More than one daemon ever has under way, so no limit.
_NO_LIMIT: Final = 512.0
# A calm daemon has some two under way: as many as this are never too many,
# whatever is seen, so that a slow spell alone refuses nobody.
_LEAST: Final = 6.0
_DECREASE: Final = 0.8
# One overload shows in many requests: they count as one sign.
_ONE_SIGN_MS: Final = 200.0
# Added for each good answer, divided by the limit: while signs come and once
# none came for a while.
_GAIN: Final = 0.2
_CALM_GAIN: Final = 1.0
_CALM_MS: Final = 1000.0
# Of the limit, what each rank of less urgent routes may use: at 0.75 the urgent
# kind won nothing and the other was served a tenth less.
_LESS_URGENT_SHARE: Final = 0.9


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """The limit of all requests that go to the same services.

    Attributes:
        under_way: requests that are worked on.
        limit: how many there may be.
    """

    under_way: int = 0
    limit: float = _NO_LIMIT
    _sign_ms: float = 0
    _other_sign_ms: float = 0
    _priorities: set[int] = attrs.field(factory=set)

    def has_room(self, priority: int) -> bool:
        """Tell whether one more request of a priority is taken in.

        Args:
            priority: of its route, 0 is the most urgent.
        """
        rank = sum(other < priority for other in self._priorities)
        share: float = _LESS_URGENT_SHARE**rank
        return self.under_way < max(_LEAST, self.limit * share)

    def enter(self, priority: int) -> bool:
        """Take one more request of a priority in, if there is room for it."""
        self._priorities.add(priority)
        if not self.has_room(priority):
            return False
        self.under_way += 1
        return True

    def note_good(self, now_ms: float) -> None:
        """Note a request that was answered in time."""
        if self.limit >= _NO_LIMIT:
            return
        calm = now_ms - self._sign_ms > _CALM_MS
        gain = _CALM_GAIN if calm else _GAIN
        self.limit += gain / self.limit

    def note_late(self, now_ms: float) -> bool:
        """Note a request that was answered late; tell if the limit fell.

        That has many causes; it is a sign only while others come as well.
        """
        if now_ms - self._other_sign_ms >= _CALM_MS:
            return False
        return self._decrease(now_ms)

    def note_overload(self, now_ms: float) -> bool:
        """Note a sign of too much under way; tell if the limit fell."""
        self._other_sign_ms = now_ms
        return self._decrease(now_ms)

    def _decrease(self, now_ms: float) -> bool:
        if now_ms - self._sign_ms < _ONE_SIGN_MS:
            return False
        self._sign_ms = now_ms
        used = min(self.limit, self.under_way)
        self.limit = max(_LEAST, used * _DECREASE)
        return True


@attrs.define(kw_only=True)
class ConcurrencyLimits:
    """The limits of one daemon, by the services that requests go to."""

    _clock: Clock
    _limits: dict[tuple[str, ...], ConcurrencyLimit] = attrs.field(
        factory=dict,
    )

    def enter(self, route: Route) -> bool:
        """Take a request in, if there is room for it."""
        return self.of(route).enter(route.priority)

    def leave(self, route: Route) -> None:
        """Note that a request is over."""
        limit = self.of(route)
        limit.under_way -= 1
        if not limit.under_way and limit.limit >= _NO_LIMIT:
            self._limits.pop(services_of(route.target), None)

    def note_end(self, ended: Dispatch[Any], took_ms: float) -> bool:
        """Note what came of a request; tell if its limit fell.

        Args:
            ended: the request.
            took_ms: until its answer.
        """
        limit = self.of(ended.route)
        now_ms = self._clock.now_ms()
        in_time = took_ms <= ended.route.aim_ms
        if ended.suffices and in_time:
            limit.note_good(now_ms)
            return False
        # Late because it had to wait for a place, or lost for want of one.
        if any(leg.turned_away for leg in ended.legs.values()):
            return limit.note_overload(now_ms)
        return ended.suffices and limit.note_late(now_ms)

    def note_lag(self) -> None:
        """Note that this process falls behind with all that it does."""
        now_ms = self._clock.now_ms()
        for limit in self._limits.values():
            limit.note_overload(now_ms)

    def of(self, route: Route) -> ConcurrencyLimit:
        """Give the limit for the services of a route."""
        services = services_of(route.target)
        found = self._limits.get(services)
        if found is None:
            found = ConcurrencyLimit()
            self._limits[services] = found
        return found
