"""Logs and metrics of the requests of a daemon that serves routes."""

import traceback
import zlib
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork.routes import (
    AttemptOutcome,
    ConcurrencyLimit,
    Failed,
    RefusalReason,
    Route,
    Send,
)
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes import _events_process as process
from fennelfork_daemon.routes import _events_requests as requests
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes._answer import Answer, Forwarded, Merged, Refused
from fennelfork_daemon.routes._caller_request import CallerRequest
from fennelfork_daemon.routes._metrics import AnsweredRequest, RouteMetrics
from fennelfork_daemon.routes._workspace_counts import ANSWERED, NO_WORKSPACE

_CLIENT_ERROR: Final = 400
# An attempt that is sent and its response.
_EXPECTED_EVENTS: Final = 2
# One of this number of requests that finished as expected is logged, about one
# a second in a busy daemon with 60 requests a second.
_SAMPLE_INTERVAL: Final = 64


@attrs.frozen(kw_only=True)
class RequestReporter:
    """Reporter that counts all requests and logs those with a deviation."""

    _log: DecisionLog
    _clock: Clock
    _metrics: RouteMetrics

    def log_refusal(
        self,
        refused: Refused,
        version: int,
        caller_request: CallerRequest | None,
    ) -> None:
        """Count and log a request that was refused before the first attempt.

        Args:
            refused: answer to the caller.
            version: active version of the configuration, zero for none.
            caller_request: request, or none if the request was not parsed.
        """
        failure = refused.failure
        workspace = _workspace_name(caller_request)
        self._metrics.workspaces.count(workspace, failure.code.value)
        self._log.log_decision(
            requests.RequestRefused(
                request=refused.request_id,
                fingerprint=None
                if caller_request is None
                else caller_request.fingerprint,
                code=failure.code.value,
                reason=failure.detail,
                version=version,
                workspace=workspace,
            ),
        )

    def log_admission_in_stop(
        self, admitted: requests.RequestAdmittedInStop
    ) -> None:
        """Log a request that was admitted while the daemon stops."""
        self._log.log_decision(admitted)

    def count_overload_refusal(
        self, route: Route, reason: RefusalReason
    ) -> None:
        """Count a request that was refused under overload."""
        self._metrics.count_overload_refusal(route.name, reason)

    def log_ejection(
        self,
        send: Send,
        outcome: AttemptOutcome,
        duration_ms: float,
        outstanding: int,
    ) -> None:
        """Log the ejection of a backend server."""
        self._log.log_decision(
            servers.ServerEjected(
                server=send.server.instance,
                service=send.server.service,
                for_ms=round(duration_ms),
                reason=_ejection_reason(outcome),
                outstanding=outstanding,
            ),
        )

    def log_recovery(self, send: Send) -> None:
        """Log that a backend server completed its slow start."""
        self._log.log_decision(
            servers.ServerBack(
                server=send.server.instance,
                service=send.server.service,
            ),
        )

    def log_crash(self, send: Send, caller_request: CallerRequest) -> None:
        """Log a crash of a backend server during an attempt."""
        self._log.log_decision(
            servers.ServerEnded(
                server=send.server.instance,
                service=send.server.service,
                request=caller_request.request_id,
                fingerprint=caller_request.fingerprint,
                after_ms=round(self._clock.now_ms() - send.sent_ms),
                alone=send.alone,
            ),
        )

    def log_lag(self, late_ms: float) -> None:
        """Log a scheduling lag of this process."""
        self._log.log_decision(process.FellBehind(late_ms=round(late_ms)))

    def log_limit_decrease(self, route: Route, limit: ConcurrencyLimit) -> None:
        """Log a decrease of the concurrency limit of a route."""
        self._log.log_decision(
            requests.LimitFell(
                route=route.name,
                limit=round(limit.limit),
                under_way=limit.in_flight,
            ),
        )

    def log_defect(self, error: Exception) -> None:
        """Log an unexpected exception that ended a request."""
        trace = ''.join(traceback.format_exception(error))
        self._log.log_decision(process.Defect(error=repr(error), trace=trace))

    def report_answer(
        self,
        caller_request: CallerRequest,
        running_request: Any,
        answer: Answer,
        received_ms: float,
    ) -> None:
        """Count a request that has ended and log any deviation."""
        dispatch = running_request.dispatch
        now_ms = self._clock.now_ms()
        took_ms = now_ms - received_ms
        self._metrics.record_answer(
            AnsweredRequest(
                route=dispatch.route.name,
                outcome=_describe_outcome(answer),
                took_ms=took_ms,
                hedges=dispatch.hedges,
                retries=dispatch.retries,
                missing=tuple(_missing_services(dispatch)),
                write_delay_ms=dispatch.write_gate.write_delay_ms,
            ),
        )
        workspace = _workspace_name(caller_request)
        self._metrics.workspaces.count(workspace, _workspace_outcome(answer))
        in_time = took_ms <= dispatch.route.latency_target_ms
        extra_attempts = dispatch.hedges or dispatch.retries
        as_expected = in_time and not extra_attempts and _is_complete(answer)
        if as_expected and not is_sampled(caller_request.request_id):
            return
        self._log.log_decision(
            requests.RequestEnded(
                request=caller_request.request_id,
                fingerprint=caller_request.fingerprint,
                route=dispatch.route.name,
                took_ms=round(took_ms),
                aim_ms=dispatch.route.latency_target_ms,
                answer_by_ms=round(
                    dispatch.patience.answer_by_ms - received_ms
                ),
                left_ms=round(dispatch.deadline_ms - now_ms),
                usual_ms=round(dispatch.latency_baseline.usual_ms),
                hedge_ms=round(dispatch.latency_baseline.hedge_after_ms),
                ending=getattr(
                    running_request.finish_reason, 'value', 'caller_left'
                ),
                parts=f'{dispatch.response_count}/{len(dispatch.sub_requests)}',
                hedges=dispatch.hedges,
                retries=dispatch.retries,
                answer=_describe_outcome(answer),
                version=running_request.version,
                sampled=as_expected,
                write_delay_ms=round(dispatch.write_gate.write_delay_ms),
                steps=_describe_steps(
                    dispatch, received_ms, all_services=as_expected
                ),
                workspace=workspace,
            ),
        )


def is_sampled(request_id: str) -> bool:
    """Whether a request that finished as expected is logged.

    The sample depends only on the ID, so all daemons choose the same requests.
    """
    return (
        zlib.crc32(request_id.encode(errors='replace')) % _SAMPLE_INTERVAL == 0
    )


def _workspace_name(caller_request: CallerRequest | None) -> str:
    """Return the name of the workspace of a request, empty for none."""
    if caller_request is None or caller_request.workspace is None:
        return NO_WORKSPACE
    return caller_request.workspace.name


def _workspace_outcome(answer: Answer) -> str:
    """Return the failure code of a refusal, or that there is an answer."""
    return (
        answer.failure.code.value if isinstance(answer, Refused) else ANSWERED
    )


def _ejection_reason(outcome: AttemptOutcome) -> str:
    if isinstance(outcome, Failed):
        return outcome.failure.detail
    return 'the backend server sent no response in time'


def _is_complete(answer: Answer) -> bool:
    if isinstance(answer, Merged):
        return not answer.missing
    return isinstance(answer, Forwarded) and _is_success(answer)


def _is_success(answer: Forwarded) -> bool:
    return answer.answer.status < _CLIENT_ERROR


def _describe_outcome(answer: Answer) -> str:
    if isinstance(answer, Refused):
        failure = answer.failure
        return f'{failure.code.value}, {failure.verdict.value}'
    if isinstance(answer, Forwarded):
        return str(answer.answer.status)
    return 'partial' if answer.missing else 'whole'


def _missing_services(dispatch: Any) -> list[str]:
    """Return the names of the services without a response."""
    return [
        sub_request.service
        for sub_request in dispatch.sub_requests.values()
        if sub_request.part is None
    ]


def _describe_steps(
    dispatch: Any,
    received_ms: float,
    *,
    all_services: bool,
) -> dict[str, list[str]]:
    """Return the steps of each sub-request with a deviation, by service.

    Each step names the server, the time in milliseconds since the request was
    received, and the event.

    Args:
        dispatch: state machine of the request.
        received_ms: time at which the request was received.
        all_services: whether to include sub-requests without a deviation.
    """
    return {
        sub_request.service: [
            f'{event.instance} {event.at_ms - received_ms:.0f} {event.description}'
            for event in sub_request.events
        ]
        for sub_request in dispatch.sub_requests.values()
        if all_services
        or sub_request.part is None
        or len(sub_request.events) > _EXPECTED_EVENTS
    }
