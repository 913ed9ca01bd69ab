"""Runs the graceful stop of a daemon: signals, listeners, requests."""

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
    graceful_stop,
)
from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    json_reply,
)

_STEP_S: Final = 0.05
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class Membership(Protocol):
    """What tells the other daemons of a leave."""

    @property
    def leave_is_told(self) -> bool:
        """Whether nobody is left who should know and does not."""

    def leave(self) -> None:
        """Tell that this daemon leaves; asked again, do nothing more."""

    def say_goodbye(self) -> None:
        """Tell that it ends now."""


class StepLog(Protocol):
    """Where the steps of a stop are told."""

    def change(
        self,
        subject: str,
        state: str,
        *,
        running: int,
        cut: int,
    ) -> bool:
        """Tell that the subject is in a state; see `StateLog`."""


@attrs.define(kw_only=True)
class StopService:
    """Takes requests to stop and sees them through.

    Attributes:
        on_leave: called once the daemon leaves, before members are told.
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
        """How many requests the end of the time for a stop has cut."""
        return self._stop.aborted_requests

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes on the operator face."""
        return (Route(method='POST', path='/v1/drain', handler=self.drain),)

    def is_leaving(self) -> bool:
        """Tell whether callers should go elsewhere."""
        return self._stop.is_draining

    def listen_to_signals(self) -> None:
        """Stop gracefully on SIGTERM or SIGINT, at once on the second."""
        for number in _SIGNALS:
            signal.signal(number, self._on_signal)

    def drain(self, request: HttpRequest) -> HttpReply:
        """Send callers elsewhere, and serve on until told to end."""
        self._stop.drain(self._clock.now_ms())
        return json_reply(
            {
                'phase': self._stop.phase.value,
                'running': self._in_progress.count,
            },
        )

    def see_through(self, callers: GreenThread) -> int:
        """Wait for a stop to be asked for, and carry it out.

        Args:
            callers: serves the caller face; killed, it listens no more and
                ends when the requests in progress are answered.

        Returns:
            The exit status.
        """
        while self._step(callers) is not StopPhase.ENDED:
            if self._stop.phase is StopPhase.CLOSING and not self._closed:
                # Only once: a second kill would cut what the first waits for.
                self._closed = True
                eventlet.spawn_n(callers.kill)
            eventlet.sleep(_STEP_S)
        self._members.say_goodbye()
        return self._stop.exit_status

    def _step(self, callers: GreenThread) -> StopPhase:
        before = self._stop.phase
        if self._stop.is_draining:
            self._leave()
        phase = self._stop.step(self._facts(callers))
        if phase is not before:
            self._log.change(
                'stop',
                phase.value,
                running=self._in_progress.count,
                cut=self._stop.aborted_requests,
            )
        return phase

    def _leave(self) -> None:
        for act in self.on_leave:
            act()
        self.on_leave.clear()
        self._members.leave()

    def _facts(self, callers: GreenThread) -> StopConditions:
        answering = 0 if callers.dead else 1
        return StopConditions(
            now_ms=self._clock.now_ms(),
            announced=self._members.leave_is_told,
            running=max(self._in_progress.count, answering),
        )

    def _on_signal(self, number: int, frame: Any) -> None:
        self._stop.end(self._clock.now_ms())


def stop_service(
    policy: StopPolicy,
    clock: Clock,
    members: Membership,
    in_progress: InProgress,
    log: StepLog,
) -> StopService:
    """Build the stop of a daemon that was not asked to stop."""
    return StopService(
        stop=graceful_stop(policy),
        clock=clock,
        members=members,
        in_progress=in_progress,
        log=log,
    )
