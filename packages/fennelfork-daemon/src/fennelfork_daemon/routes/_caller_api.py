"""Caller API of routes, as a WSGI application."""

import contextlib
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import (
    Clock,
    Failure,
    FailureCode,
    Verdict,
    may_have_run,
    not_run,
)
from fennelfork.routes import (
    AnswerDelays,
    Asker,
    CallerLimits,
    ConcurrencyLimits,
    LatencyBaselines,
    RefusalReason,
    Route,
    can_meet_deadline,
    urgency_of,
)
from fennelfork_daemon.quota._service import Quotas
from fennelfork_daemon.routes._answer import Answer, Refused
from fennelfork_daemon.routes._attempt_runner import AttemptParts
from fennelfork_daemon.routes._authorization import (
    AuthorizedRequest,
    Authorizer,
)
from fennelfork_daemon.routes._body import read_body
from fennelfork_daemon.routes._caller_request import CallerRequest
from fennelfork_daemon.routes._disconnect_watch import disconnect_watch
from fennelfork_daemon.routes._initial_routes import (
    INITIAL_LIMITS,
    InitialRoutes,
)
from fennelfork_daemon.routes._ports import CallerCodec
from fennelfork_daemon.routes._request import RunningRequest
from fennelfork_daemon.routes._request_builder import RequestBuilder
from fennelfork_daemon.routes._stop_gate import StopGate

_INTERNAL_ERROR: Final = may_have_run(
    FailureCode.INTERNAL, 'internal error; see the log of the daemon'
)


@attrs.frozen(kw_only=True)
class RouteCallerApi:
    """WSGI application that answers the requests of callers.

    Attributes:
        limits: concurrency limits of the routes.
        quotas: quotas of workspaces.
    """

    limits: ConcurrencyLimits
    quotas: Quotas
    _initial_routes: InitialRoutes
    _authorizer: Authorizer
    _builder: RequestBuilder
    _clock: Clock
    _codec: CallerCodec
    _attempt_parts: AttemptParts
    _baselines: LatencyBaselines
    _answer_delays: AnswerDelays
    _stop_gate: StopGate

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        reply = self._codec.write_answer(self._answer_or_log_defect(environ))
        length = ('Content-Length', str(len(reply.body)))
        start_response(reply.status_line, [*reply.headers, length])
        return [reply.body]

    def report_unread_request(self, failure: Failure) -> None:
        """Count and log a request that was refused while it was read."""
        self._refuse(failure, None)

    def _answer_or_log_defect(self, environ: dict[str, Any]) -> Answer:
        """Answer a request, with a failure after an unexpected exception."""
        try:
            return self._answer(environ)
        except Exception as error:
            self._attempt_parts.reporter.log_defect(error)
            return Refused(failure=_INTERNAL_ERROR, request_id=None)

    def _answer(self, environ: dict[str, Any]) -> Answer:
        received_ms = self._builder.received_ms(environ)
        table = self._initial_routes.wait()
        parsed = self._read_request(
            environ, INITIAL_LIMITS if table is None else table.limits
        )
        if not is_successful(parsed):
            return self._refuse(parsed.failure(), None)
        authorized = self._authorizer.authorize(table, parsed.unwrap())
        if not is_successful(authorized):
            return self._refuse(authorized.failure(), parsed.unwrap())
        request = authorized.unwrap()
        quota = self.quotas.admit(
            request.caller_request.workspace, request.left_ms
        )
        if not is_successful(quota):
            return self._refuse(quota.failure(), request.caller_request)
        answer = self._answer_within_quota(environ, request, received_ms)
        if _has_not_run(answer):
            self.quotas.give_back(quota.unwrap())
        return answer

    def _answer_within_quota(
        self,
        environ: dict[str, Any],
        request: AuthorizedRequest,
        received_ms: float,
    ) -> Answer:
        caller_request = request.caller_request
        admitted = self._attempt_parts.guard.admit(caller_request.fingerprint)
        if not is_successful(admitted):
            return self._refuse(admitted.failure(), caller_request)
        left_ms = request.left_ms - (self._clock.now_ms() - received_ms)
        refusal = self._stop_gate.refuse(request) or self._admit(
            request, left_ms
        )
        if refusal is not None:
            return self._refuse(refusal, caller_request)
        with contextlib.ExitStack() as stack:
            stack.callback(self.limits.release, request.route)
            return self._run_request(
                environ,
                caller_request,
                self._builder.build(
                    environ, request, received_ms, admitted.unwrap()
                ),
                received_ms,
            )

    def _run_request(
        self,
        environ: dict[str, Any],
        caller_request: CallerRequest,
        running_request: RunningRequest,
        received_ms: float,
    ) -> Answer:
        watch = disconnect_watch(environ)
        with watch.call_on_disconnect(running_request.record_disconnect):
            answer = running_request.run()
        self._attempt_parts.reporter.report_answer(
            caller_request, running_request, answer, received_ms
        )
        now_ms = self._clock.now_ms()
        self._answer_delays.record_merge(now_ms - running_request.finished_ms)
        took_ms = now_ms - received_ms
        if self.limits.record_outcome(running_request.dispatch, took_ms):
            route = running_request.dispatch.route
            self._attempt_parts.reporter.log_limit_decrease(
                route, self.limits.for_route(route)
            )
        return answer

    def _admit(
        self, request: AuthorizedRequest, left_ms: float
    ) -> Failure | None:
        """Admit a request, or return the failure if there is no room.

        Args:
            request: request that may run.
            left_ms: time until the deadline of the caller.
        """
        route = request.route
        caller_request = request.caller_request
        asker = _asker(route, caller_request)
        refusal: RefusalReason | None = RefusalReason.DEADLINE
        if can_meet_deadline(self._baselines.for_route(route), left_ms):
            refusal = self.limits.admit(route, asker)
        if refusal is None:
            return None
        self._attempt_parts.reporter.count_overload_refusal(route, refusal)
        limit = self.limits.for_route(route)
        return not_run(
            FailureCode.SHED,
            f'{limit.in_flight} requests are under way to these services, '
            f'the limit is {limit.limit:.0f}, refused by {refusal.value}',
            retry_after_ms=self.limits.record_refusal(
                route, caller_request.request_id, left_ms, asker
            ),
        )

    def _refuse(
        self, failure: Failure, caller_request: CallerRequest | None
    ) -> Refused:
        request_id = (
            None if caller_request is None else caller_request.request_id
        )
        refused = Refused(failure=failure, request_id=request_id)
        self._attempt_parts.reporter.log_refusal(
            refused, self._initial_routes.version, caller_request
        )
        return refused

    def _read_request(
        self,
        environ: dict[str, Any],
        limits: CallerLimits,
    ) -> Result[CallerRequest, Failure]:
        body = read_body(environ, limits.body_bytes, limits.header_ms)
        return body.bind(
            lambda content: self._codec.read_request(environ, content)
        )


def _has_not_run(answer: Answer) -> bool:
    """Whether no backend server has run the request of an answer."""
    return (
        isinstance(answer, Refused)
        and answer.failure.verdict is Verdict.NOT_RUN
    )


def _asker(route: Route, caller_request: CallerRequest) -> Asker | None:
    """Return the workspace and rank of a request, none without workspaces."""
    workspace = caller_request.workspace
    if workspace is None:
        return None
    return Asker(
        workspace=workspace,
        urgency=urgency_of(route, workspace),
        request_id=caller_request.request_id,
        fingerprint=caller_request.fingerprint,
    )
