"""How often, and how patiently, a daemon asks the platform's store."""

from typing import Final

import attrs

from fennelfork.routes._fleet_size import FleetSize

# The store answers within some 10 ms, in 40 from another region, and in 300 when
# it is seventy times slower. What has no answer by then has none to come: the
# store lost it, or is away. Doubled with each failure, lest a store that is
# slower still is never heard.
_ANSWER_MS: Final = 300.0
# The least pause after a call that failed.
STORE_RETRY_MS: Final = 150.0
# Changes that come within this time are fetched by one call. All daemons ask
# for each change, so the time grows with the fleet: together they make some 67
# calls a second at most. The most is far below the seconds in which a change
# has to be in force, and what is beyond the least is added to a stop.
_GATHER_MS_A_DAEMON: Final = 15.0
_LEAST_GATHER_MS: Final = 300.0
_MOST_GATHER_MS: Final = 1000.0
# The store is asked at most so often, whatever is wanted.
_LEAST_WATCH_MS: Final = 500.0
# After a failure the store says at once whether it is back: it tells what is
# new, or nothing after this time.
_RETRY_WATCH_MS: Final = 50.0
# For a daemon that wakes up late, and then has to take what it was told.
_MARGIN_MS: Final = 100.0
# A daemon that starts has nothing else to go by, and callers wait for it.
FIRST_LISTING_MS: Final = 400.0
# Four times as patient suffices for a store that is 300 times slower than usual.
_MOST_DOUBLINGS: Final = 2


@attrs.frozen(kw_only=True)
class WatchTimes:
    """How long one watch may take.

    Attributes:
        wait_ms: how long the store waits for changes before it says that there
            are none.
        answer_ms: how much later the answer has to be here.
    """

    wait_ms: float
    answer_ms: float


@attrs.frozen(kw_only=True)
class StorePace:
    """Bounds the age of what a daemon knows of the store.

    A call that waits there for news tells nothing until it is answered, and
    some are never: the store forgot the call, or the answer was lost. So it
    waits no longer than the age that is allowed leaves, less the time to find
    out and to ask once more. That costs an idle daemon a call each 2.1 s where
    changes have to be in force in 3 s, each 4.1 s where in 5 s.
    """

    _fleet: FleetSize
    _in_force_ms: float

    @property
    def gather_ms(self) -> float:
        """How long to let further changes come before asking for them."""
        return max(_LEAST_GATHER_MS, self.spread_ms)

    @property
    def spread_ms(self) -> float:
        """Within which time all daemons do what they need not do at once."""
        wanted_ms = self._fleet.most * _GATHER_MS_A_DAEMON
        return min(_MOST_GATHER_MS, wanted_ms)

    @property
    def extra_gather_ms(self) -> float:
        """By how much a large fleet hears of a change later than a small."""
        return self.gather_ms - _LEAST_GATHER_MS

    def watch(self, age_ms: float, failures: int) -> WatchTimes:
        """How long the store may wait for changes, and its answer take.

        Args:
            age_ms: how old what the daemon knows is already.
            failures: how many calls failed since the last answer.
        """
        answer_ms = _ANSWER_MS * _doublings(failures)
        if failures:
            return WatchTimes(wait_ms=_RETRY_WATCH_MS, answer_ms=answer_ms)
        once_more_ms = answer_ms + STORE_RETRY_MS + answer_ms
        left_ms = self._in_force_ms - age_ms - once_more_ms - _MARGIN_MS
        wait_ms = max(_LEAST_WATCH_MS, left_ms)
        return WatchTimes(wait_ms=wait_ms, answer_ms=answer_ms)

    def listing_ms(self, failures: int) -> float:
        """How long to wait for the first bytes of a list of everything.

        Args:
            failures: how many calls failed since the last answer.
        """
        return FIRST_LISTING_MS * _doublings(failures)


def store_pace(fleet: FleetSize, in_force_ms: float) -> StorePace:
    """Build the pace of a daemon.

    Args:
        fleet: how many daemons ask the store.
        in_force_ms: how soon after the store took a change every daemon has to
            go by it.
    """
    return StorePace(fleet=fleet, in_force_ms=in_force_ms)


def _doublings(failures: int) -> int:
    """Give the factor of a patience that doubles with each failure."""
    return 1 << min(failures, _MOST_DOUBLINGS)
