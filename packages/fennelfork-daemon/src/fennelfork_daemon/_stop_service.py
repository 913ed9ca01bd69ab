"""Graceful stop of a daemon: signals, listeners and requests."""

import signal
from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from fennelfork import (
    Clock,
    GracefulStop,
    StopConditions,
    StopPhase,
    StopPolicy,
    StopTimes,
    graceful_stop,
)
from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    json_reply,
)

_POLL_INTERVAL_S: Final = 0.05
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Membership(Protocol):
    """Membership operations that a graceful stop needs."""

    @property
    def is_leave_announced(self) -> bool:
        """Whether all members are informed of the leave."""

    def leave(self) -> None:
        """Announce that this daemon leaves the fleet; idempotent."""

    def send_exit(self) -> None:
        """Announce to other daemons that this daemon exits now."""


class StepLog(Protocol):
    """Log of the phases of a stop."""

    def change(
        self,
        subject: str,
        state: str,
        *,
        running: int,
        cut: int,
    ) -> bool:
        """Log the state of a subject; see `StateLog`."""


@attrs.define(kw_only=True)
class StopService:
    """Handles stop requests and runs the graceful stop.

    Attributes:
        on_leave: callbacks that run once when the daemon starts to leave,
            before the members are informed.
    """

    on_leave: list[Callable[[], None]] = attrs.field(factory=list)
    _stop: GracefulStop
    _clock: Clock
    _members: Membership
    _in_progress: InProgress
    _log: StepLog
    _closed: bool = False

    @property
    def cut(self) -> int:
        """Number of requests that the stop timeout aborted."""
        return self._stop.aborted_requests

    @property
    def routes(self) -> tuple[Route, ...]:
        """Routes of the operator API."""
        return (Route(method='POST', path='/v1/drain', handler=self.drain),)

    def is_leaving(self) -> bool:
        """Return whether callers should connect to other daemons."""
        return self._stop.is_draining

    def times(self) -> StopTimes:
        """Return the time that is left for requests."""
        return self._stop.times(self._clock.now_ms())

    def listen_to_signals(self) -> None:
        """Stop gracefully on SIGTERM or SIGINT, immediately on the second."""
        for signum in _SIGNALS:
            signal.signal(signum, self._handle_signal)

    def drain(self, request: HttpRequest) -> HttpReply:
        """Start to drain; continue to serve until termination is requested."""
        self._stop.drain(self._clock.now_ms())
        return json_reply(
            {
                'phase': self._stop.phase.value,
                'running': self._in_progress.count,
            },
        )

    def run_until_stopped(self, caller_thread: GreenThread) -> int:
        """Wait for a stop request and run the graceful stop.

        Args:
            caller_thread: green thread that serves the caller API; after
                `kill` the listener is closed, and the thread ends when all
                requests in progress are answered.

        Returns:
            Exit status of the process.
        """
        while self._step(caller_thread) is not StopPhase.ENDED:
            if self._stop.phase is StopPhase.CLOSING and not self._closed:
                # A second kill would abort the requests in progress.
                self._closed = True
                eventlet.spawn_n(caller_thread.kill)
            eventlet.sleep(_POLL_INTERVAL_S)
        self._members.send_exit()
        return self._stop.exit_status

    def _step(self, caller_thread: GreenThread) -> StopPhase:
        previous = self._stop.phase
        if self._stop.is_draining:
            self._leave()
        phase = self._stop.step(self._read_conditions(caller_thread))
        if phase is not previous:
            self._log.change(
                'stop',
                phase.value,
                running=self._in_progress.count,
                cut=self._stop.aborted_requests,
            )
        return phase

    def _leave(self) -> None:
        for callback in self.on_leave:
            callback()
        self.on_leave.clear()
        self._members.leave()

    def _read_conditions(self, caller_thread: GreenThread) -> StopConditions:
        serving = 0 if caller_thread.dead else 1
        return StopConditions(
            now_ms=self._clock.now_ms(),
            announced=self._members.is_leave_announced,
            running=max(self._in_progress.count, serving),
        )

    def _handle_signal(self, signum: int, frame: Any) -> None:
        self._stop.end(self._clock.now_ms())


def stop_service(
    policy: StopPolicy,
    clock: Clock,
    members: Membership,
    in_progress: InProgress,
    log: StepLog,
) -> StopService:
    """Build the stop service of a serving daemon."""
    return StopService(
        stop=graceful_stop(policy),
        clock=clock,
        members=members,
        in_progress=in_progress,
        log=log,
    )
