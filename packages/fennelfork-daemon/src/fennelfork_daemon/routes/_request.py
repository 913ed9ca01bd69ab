"""Sees one request of a caller through."""

import enum
from typing import Any, Final

import attrs
from eventlet.queue import Empty, LightQueue
from returns.pipeline import is_successful

from fennelfork import Clock, Failure, FailureCode, Verdict
from fennelfork.routes import (
    Dispatch,
    FinishReason,
    is_merged,
    largest_records,
    merge_failures,
)
from fennelfork_daemon.routes._answer import Answer, Forwarded, Merged, Refused
from fennelfork_daemon.routes._ask import Ask, BackendAnswer
from fennelfork_daemon.routes._caller_calls import CallOutcome, RequestCalls

_MS_PER_SECOND: Final = 1000
_LEAST_WAIT_MS: Final = 0.5
_SERVER_ERROR: Final = 500


@enum.unique
class Left(enum.Enum):
    """The caller of a request is gone."""

    LEFT = 'left'


_Event = tuple[int, CallOutcome] | Left


@attrs.define(kw_only=True)
class RunningRequest:
    """One request while it is worked on.

    Attributes:
        dispatch: decides what is sent.
        version: of the configuration that it came under.
        finish_reason: why it is over, once it is; none if its caller left.
    """

    dispatch: Dispatch[BackendAnswer]
    version: int
    finish_reason: FinishReason | None = None
    _ask: Ask
    _clock: Clock
    _calls: RequestCalls
    _inbox: LightQueue
    _bad_answer: BackendAnswer | None = None

    def leave(self) -> None:
        """Note that the caller is gone."""
        self._inbox.put(Left.LEFT)

    def run(self) -> Answer:
        """Work until the request is answered or its caller is gone."""
        self._calls.launch(self.dispatch.start(self._clock.now_ms()))
        self.finish_reason = self.dispatch.finish_reason(self._clock.now_ms())
        while self.finish_reason is None:
            event = self._next()
            if event is Left.LEFT:
                self._calls.cancel()
                return self._refuse(_LEFT)
            if event is not None:
                self._take(*event)
            now_ms = self._clock.now_ms()
            self._calls.launch(self.dispatch.send_hedges(now_ms))
            self.finish_reason = self.dispatch.finish_reason(now_ms)
        self._calls.linger()
        return self._answer()

    def _next(self) -> Any:
        now_ms = self._clock.now_ms()
        wait_ms = max(
            _LEAST_WAIT_MS, self.dispatch.next_timer_ms(now_ms) - now_ms
        )
        try:
            return self._inbox.get(timeout=wait_ms / _MS_PER_SECOND)
        except Empty:
            return None

    def _take(self, attempt: int, outcome: CallOutcome) -> None:
        if not is_successful(outcome):
            self._fail(attempt, outcome.failure())
            return
        answer = outcome.unwrap()
        if answer.status >= _SERVER_ERROR:
            self._bad_answer = answer
            self._fail(attempt, _server_error(answer))
        else:
            now_ms = self._clock.now_ms()
            sends = self.dispatch.on_response(attempt, answer, now_ms)
            self._calls.launch(sends)

    def _fail(self, attempt: int, failure: Failure) -> None:
        now_ms = self._clock.now_ms()
        self._calls.launch(self.dispatch.on_failure(attempt, failure, now_ms))

    def _answer(self) -> Answer:
        parts = [
            sub_request.part
            for sub_request in self.dispatch.sub_requests.values()
            if sub_request.part is not None
        ]
        target = self.dispatch.route.target
        if not self.dispatch.is_sufficient:
            return self._without_success()
        if not is_merged(target):
            return Forwarded(answer=parts[0])
        return Merged(
            body=largest_records(
                (part.body for part in parts), target.max_records
            ),
            signatures=tuple(part.signature for part in parts),
            missing=len(self.dispatch.sub_requests) - len(parts),
        )

    def _without_success(self) -> Answer:
        if self._bad_answer and not is_merged(self.dispatch.route.target):
            return Forwarded(answer=self._bad_answer)
        timed_out = self.finish_reason is FinishReason.TIMEOUT
        sub_requests = self.dispatch.sub_requests.values()
        return self._refuse(merge_failures(sub_requests, timed_out=timed_out))

    def _refuse(self, failure: Failure) -> Refused:
        return Refused(failure=failure, request_id=self._ask.request_id)


_LEFT: Final = Failure(
    code=FailureCode.CANCELLED,
    verdict=Verdict.MAY_HAVE_RUN,
    detail='the caller closed its connection',
)


def _server_error(answer: BackendAnswer) -> Failure:
    return Failure(
        code=FailureCode.BAD_REPLY,
        verdict=Verdict.RAN,
        detail=f'the server answered {answer.status}',
    )
