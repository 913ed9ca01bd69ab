"""Processing of one request of a caller."""

import contextlib
import enum
from collections.abc import Iterator
from typing import Any, Final

import attrs
from eventlet.queue import Empty, LightQueue
from returns.pipeline import is_successful

from fennelfork import Clock, Failure, FailureCode, Verdict, not_run
from fennelfork.routes import (
    Dispatch,
    FinishReason,
    is_merged,
    largest_records,
    merge_failures,
    spread_retry,
)
from fennelfork_daemon.routes._answer import Answer, Forwarded, Merged, Refused
from fennelfork_daemon.routes._attempt_runner import (
    AttemptResult,
    AttemptRunner,
)
from fennelfork_daemon.routes._caller_request import (
    CallerRequest,
    SignedResponse,
)
from fennelfork_daemon.routes._response_status import is_answer

_MS_PER_SECOND: Final = 1000
_MIN_WAIT_MS: Final = 0.5


@enum.unique
class CallerDisconnect(enum.Enum):
    """Event for a caller that closes its connection during the request."""

    DISCONNECTED = 'left'


_Event = tuple[int, AttemptResult] | CallerDisconnect


@attrs.define(kw_only=True)
class RunningRequest:
    """Request that is in progress.

    Attributes:
        dispatch: state machine that decides which attempts to send.
        version: version of the configuration with which the request is routed.
        finish_reason: reason for the end of the request; none while the
            request is in progress and if the caller disconnected.
        finished_ms: time at which the request finished.
    """

    dispatch: Dispatch[SignedResponse]
    version: int
    finish_reason: FinishReason | None = None
    finished_ms: float = 0
    _caller_request: CallerRequest
    _clock: Clock
    _attempts: AttemptRunner
    _queue: LightQueue
    _error_response: SignedResponse | None = None

    def record_disconnect(self) -> None:
        """Record that the caller closed its connection.

        From now on nothing is written, also before the event is handled.
        """
        self.dispatch.write_gate.close()
        self._queue.put(CallerDisconnect.DISCONNECTED)

    def run(self) -> Answer:
        """Run the request until it is finished or the caller disconnects."""
        self._attempts.start_attempts(self.dispatch.start(self._clock.now_ms()))
        self.finish_reason = self.dispatch.finish_reason(self._clock.now_ms())
        while self.finish_reason is None:
            for event in self._next_events():
                if event is CallerDisconnect.DISCONNECTED:
                    self._attempts.cancel()
                    return self._refuse(_CALLER_DISCONNECTED)
                self._handle_result(*event)
            now_ms = self._clock.now_ms()
            self._attempts.start_attempts(self.dispatch.send_hedges(now_ms))
            self.finish_reason = self.dispatch.finish_reason(now_ms)
        self.finished_ms = self._clock.now_ms()
        self.dispatch.end()
        if not self.dispatch.is_sufficient:
            self._cancel_unsent()
        self._attempts.schedule_cancel()
        return self._answer()

    def _cancel_unsent(self) -> None:
        """Cancel the attempts without a connection before a failure.

        A request that has not run then never runs after its answer.
        """
        for attempt in self._attempts.cancel_unsent():
            self._handle_failure(attempt, _UNSENT)
        while not self._queue.empty():
            event = self._queue.get()
            if event is not CallerDisconnect.DISCONNECTED:
                self._handle_result(*event)

    def _next_events(self) -> Iterator[Any]:
        """Wait for an event or the next timer, and return all known events.

        The results that have arrived come before the decisions on late ones.
        """
        now_ms = self._clock.now_ms()
        wait_ms = max(
            _MIN_WAIT_MS, self.dispatch.next_timer_ms(now_ms) - now_ms
        )
        with contextlib.suppress(Empty):
            yield self._queue.get(timeout=wait_ms / _MS_PER_SECOND)
        while not self._queue.empty():
            yield self._queue.get()

    def _handle_result(
        self, attempt: int, attempt_result: AttemptResult
    ) -> None:
        if not is_successful(attempt_result):
            self._handle_failure(attempt, attempt_result.failure())
            return
        response = attempt_result.unwrap()
        is_part = is_merged(self.dispatch.route.target)
        if is_answer(response.status, is_part=is_part):
            now_ms = self._clock.now_ms()
            sends = self.dispatch.on_response(attempt, response, now_ms)
            self._attempts.start_attempts(sends)
        else:
            self._error_response = response
            self._handle_failure(attempt, _error_failure(response))

    def _handle_failure(self, attempt: int, failure: Failure) -> None:
        now_ms = self._clock.now_ms()
        self._attempts.start_attempts(
            self.dispatch.on_failure(attempt, failure, now_ms)
        )

    def _answer(self) -> Answer:
        parts = [
            sub_request.part
            for sub_request in self.dispatch.sub_requests.values()
            if sub_request.part is not None
        ]
        target = self.dispatch.route.target
        if not self.dispatch.is_sufficient:
            return self._unsuccessful_answer()
        if not is_merged(target):
            return Forwarded(answer=parts[0])
        return Merged(
            body=largest_records(
                (part.body for part in parts), target.max_records
            ),
            signatures=tuple(part.signature for part in parts),
            missing=len(self.dispatch.sub_requests) - len(parts),
        )

    def _unsuccessful_answer(self) -> Answer:
        if self._error_response and not is_merged(self.dispatch.route.target):
            return Forwarded(answer=self._error_response)
        timed_out = self.finish_reason is FinishReason.TIMEOUT
        failure = merge_failures(
            self.dispatch.sub_requests.values(), timed_out=timed_out
        )
        left_ms = max(0, self.dispatch.deadline_ms - self._clock.now_ms())
        request_id = self._caller_request.request_id
        return self._refuse(spread_retry(failure, request_id, left_ms))

    def _refuse(self, failure: Failure) -> Refused:
        return Refused(
            failure=failure, request_id=self._caller_request.request_id
        )


_UNSENT: Final = not_run(
    FailureCode.UNREACHABLE, 'the request ended without a connection'
)
_CALLER_DISCONNECTED: Final = Failure(
    code=FailureCode.CANCELLED,
    verdict=Verdict.MAY_HAVE_RUN,
    detail='the caller closed its connection',
)


def _error_failure(response: SignedResponse) -> Failure:
    return Failure(
        code=FailureCode.BAD_REPLY,
        verdict=Verdict.RAN,
        detail=f'the backend server responded with status {response.status}',
    )
