"""Runner for admitted non-idempotent requests, one green thread for each.

A request continues after its caller disconnects, since its outcome answers
later requests with the same id.
"""

import contextlib
from typing import Final, Protocol

import attrs
import eventlet
from eventlet.event import Event
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Clock, Failure, FailureCode, Verdict, not_run
from fennelfork.once import ExecuteCall, ExecuteRequest, OnceTable
from fennelfork_daemon.execute._connection import (
    ExecuteTarget,
    ExecuteTimeouts,
    attempt_execute,
)

_MAX_ATTEMPTS: Final = 3
# Lets a deadline failure of the server arrive before the deadline itself.
_RESPONSE_MARGIN_MS: Final = 10
_RETRY_AFTER_MS: Final = 200
_MS: Final = 1000


class TargetFinder(Protocol):
    """Interface for finding the backend servers of a record."""

    def find(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Result[tuple[ExecuteTarget, ...], Failure]:
        """Return the servers that hold the record, in order of preference."""

    def invalidate(self, request: ExecuteRequest) -> None:
        """Discard cached locations of the record."""

    def record_draining(self, target: ExecuteTarget) -> None:
        """Exclude a draining server until its drain ends."""


@attrs.define(kw_only=True)
class ExecuteRunner:
    """Runs the non-idempotent requests of one daemon incarnation."""

    _table: OnceTable
    _clock: Clock
    _target_finder: TargetFinder
    _timeouts: ExecuteTimeouts
    _limit: int
    _running: dict[str, Event] = attrs.field(factory=dict)
    _attempts: int = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._running)

    def start(self, request: ExecuteRequest, deadline_at_ms: float) -> None:
        """Start a request that was admitted as new.

        Args:
            request: request to run.
            deadline_at_ms: clock reading of the deadline, in milliseconds.
        """
        if self.running >= self._limit:
            reason = not_run(
                FailureCode.QUEUE_FULL,
                'too many non-idempotent requests in progress',
                _RETRY_AFTER_MS,
            )
            self._table.abandon(request.request_id, reason)
            return
        self._running[request.request_id] = Event()
        eventlet.spawn_n(self._run, request, deadline_at_ms)

    def wait(self, request_id: str, timeout_ms: float) -> bool:
        """Wait until a request ends or the timeout passes.

        Returns:
            Whether the request has ended.
        """
        event = self._running.get(request_id)
        if event is None:
            return True
        with eventlet.Timeout(max(0, timeout_ms) / _MS, exception=False):
            event.wait()
        return event.ready()

    def _run(self, request: ExecuteRequest, deadline_at_ms: float) -> None:
        with contextlib.ExitStack() as ending:
            ending.callback(self._finish, request.request_id)
            reason = self._run_with_refresh(request, deadline_at_ms)
            if reason is not None:
                self._table.abandon(request.request_id, reason)

    def _finish(self, request_id: str) -> None:
        """Close the request in the table, also after an exception."""
        reason = not_run(
            FailureCode.INTERNAL,
            'the request was abandoned after an internal error',
        )
        self._table.abandon(request_id, reason)
        self._running.pop(request_id).send()

    def _run_with_refresh(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Failure | None:
        """Run the request, with a fresh lookup if the record has moved."""
        failure = self._run_on_targets(request, deadline_at_ms)
        if failure is None or failure.code is not FailureCode.NOT_HELD:
            return failure
        if failure.verdict is not Verdict.NOT_RUN:
            return failure
        self._target_finder.invalidate(request)
        return self._run_on_targets(request, deadline_at_ms)

    def _run_on_targets(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Failure | None:
        found = self._target_finder.find(request, deadline_at_ms)
        if isinstance(found, Failed):
            return found.failure()
        failure = not_run(FailureCode.NOT_HELD, 'no server holds the record')
        for target in found.unwrap()[:_MAX_ATTEMPTS]:
            result = self._attempt(request, target, deadline_at_ms)
            if isinstance(result, Success):
                self._table.record_outcome(request.request_id, result.unwrap())
                return None
            failure = result.failure()
            if failure.verdict is not Verdict.NOT_RUN:
                return failure
            if failure.code is FailureCode.DRAINING:
                self._target_finder.record_draining(target)
            self._table.revert_send(request.request_id)
        return failure

    def _attempt(
        self,
        request: ExecuteRequest,
        target: ExecuteTarget,
        deadline_at_ms: float,
    ) -> Result[str, Failure]:
        self._attempts += 1
        call = ExecuteCall(
            request_id=request.request_id,
            sub_query=f'x{self._attempts}',
            key=request.key,
            action=request.action,
        )
        return attempt_execute(
            target,
            call,
            lambda: self._begin_send(request.request_id, deadline_at_ms),
            self._timeouts,
        )

    def _begin_send(
        self,
        request_id: str,
        deadline_at_ms: float,
    ) -> Result[float, Failure]:
        remaining_ms = (
            deadline_at_ms - self._clock.now_ms() - _RESPONSE_MARGIN_MS
        )
        if remaining_ms <= 0:
            return Failed(
                not_run(
                    FailureCode.DEADLINE,
                    'the deadline passed before the request was sent',
                )
            )
        send_window = self._table.begin_send(request_id)
        return send_window.map(lambda ticket_ms: min(remaining_ms, ticket_ms))
