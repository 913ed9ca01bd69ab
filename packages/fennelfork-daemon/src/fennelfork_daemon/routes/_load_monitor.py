"""Publication of the overload of this daemon to the other daemons."""

from collections.abc import Callable
from typing import Any, Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork.membership import (
    Member,
    capable_members,
    preferred_members,
)
from fennelfork.routes import DaemonOverload
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._fleet_reporter import FleetReporter

_MS_PER_SECOND: Final = 1000
_INTERVAL_MS: Final = 500.0


@attrs.define(kw_only=True)
class IdleTimer:
    """Measures how long the event loop waits for events.

    Attributes:
        idle_ms: total time that the event loop has waited.
    """

    idle_ms: float = 0
    _clock: Clock
    _poll: Callable[[float | None], Any]

    def poll(self, seconds: float | None) -> Any:
        """Wait for events and add the waiting time to the total."""
        started_ms = self._clock.now_ms()
        events = self._poll(seconds)
        self.idle_ms += self._clock.now_ms() - started_ms
        return events


def install_idle_timer(clock: Clock) -> IdleTimer:
    """Start to measure the idle time of the event loop of this process."""
    hub = eventlet.hubs.get_hub()
    timer = IdleTimer(clock=clock, poll=hub.do_poll)
    hub.do_poll = timer.poll
    return timer


@attrs.define(kw_only=True)
class LoadMonitor:
    """Measures the load of this daemon and publishes an overload.

    The overload is part of the entry of the daemon, which the registration
    writes to the store.
    """

    _blackboard: RouteBlackboard
    _overload: DaemonOverload
    _timer: IdleTimer
    _clock: Clock
    _reporter: FleetReporter

    def run(self) -> None:
        """Measure the load until the process exits."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            started_ms = self._clock.now_ms()
            idle_ms = self._timer.idle_ms
            eventlet.sleep(_INTERVAL_MS / _MS_PER_SECOND)
            elapsed_ms = self._clock.now_ms() - started_ms
            waited_ms = self._timer.idle_ms - idle_ms
            self.record(max(0, 1 - waited_ms / elapsed_ms))

    def record(self, busy_ratio: float) -> None:
        """Record one measurement of the busy share of the event loop."""
        group = self._data_centre_members()
        if not self._blackboard.is_ready or not self._overload.record(
            busy_ratio, _callers_ratio(group)
        ):
            return
        self._blackboard.local = attrs.evolve(
            self._blackboard.local, is_overloaded=self._overload.is_active
        )
        self._reporter.load_changed(
            overloaded=self._overload.is_active,
            busy_ratio=self._overload.busy_ratio,
        )

    def _data_centre_members(self) -> tuple[Member, ...]:
        local = self._blackboard.local
        others = self._blackboard.members.entries.values()
        return (
            local,
            *(
                member
                for member in others
                if member.data_centre == local.data_centre
                and member.name != local.name
            ),
        )


def load_monitor(
    blackboard: RouteBlackboard, clock: Clock, reporter: FleetReporter
) -> LoadMonitor:
    """Create the monitor of the event loop of this process."""
    return LoadMonitor(
        blackboard=blackboard,
        overload=DaemonOverload(clock=clock),
        timer=install_idle_timer(clock),
        clock=clock,
        reporter=reporter,
    )


def _callers_ratio(group: tuple[Member, ...]) -> float:
    """Return the share of the usual callers that a capable member has now."""
    preferred = preferred_members(group)
    return min(1, len(capable_members(group)) / len(preferred))
