"""Construction of the requests that run."""

import random
from collections.abc import Callable
from typing import Any

import attrs
from eventlet.queue import LightQueue

from fennelfork import Clock
from fennelfork.routes import (
    Dispatch,
    DispatchParts,
    LatencyBaselines,
    RequestTimes,
    bind_workspace,
    choose_services,
    dispatch,
)
from fennelfork.workspaces import Workspace
from fennelfork_daemon.http._wsgi_protocol import CONNECTION_KEY
from fennelfork_daemon.routes._attempt_runner import AttemptParts, AttemptRunner
from fennelfork_daemon.routes._authorization import AuthorizedRequest
from fennelfork_daemon.routes._caller_request import SignedResponse
from fennelfork_daemon.routes._caller_way import request_times, unread_ms
from fennelfork_daemon.routes._outcome_recorder import OutcomeRecorder
from fennelfork_daemon.routes._request import RunningRequest


@attrs.frozen(kw_only=True)
class RequestBuilder:
    """Builds the requests that are dispatched to backend servers."""

    _clock: Clock
    _attempt_parts: AttemptParts
    _dispatch_parts: DispatchParts
    _find_workspace: Callable[[str], Workspace | None]
    _baselines: LatencyBaselines
    _rng: random.Random

    def received_ms(self, environ: dict[str, Any]) -> float:
        """Return the time at which a request arrived that is read now."""
        return self._clock.now_ms() - unread_ms(environ[CONNECTION_KEY])

    def build(
        self,
        environ: dict[str, Any],
        request: AuthorizedRequest,
        received_ms: float,
        suspect_services: frozenset[str],
    ) -> RunningRequest:
        """Build a request that has not sent any attempt yet.

        Args:
            environ: WSGI environment of the request.
            request: request that may run.
            received_ms: time at which the request was received.
            suspect_services: services whose servers crashed while they ran the
                same request.
        """
        times = request_times(environ, request, received_ms)
        dispatched = self._dispatch(request, times, suspect_services)
        queue = LightQueue()
        attempts = AttemptRunner(
            parts=self._attempt_parts,
            caller_request=request.caller_request,
            recorder=OutcomeRecorder(
                clock=self._clock,
                selector=self._attempt_parts.selector,
                reporter=self._attempt_parts.reporter,
                latency_baseline=dispatched.latency_baseline,
                retry_budgets=self._dispatch_parts.retry_budgets,
            ),
            deadline_ms=dispatched.deadline_ms,
            requires_new_connection=not request.route.idempotent,
            write_gate=dispatched.write_gate,
            on_result=lambda attempt, outcome: queue.put((attempt, outcome)),
        )
        return RunningRequest(
            dispatch=dispatched,
            version=request.version,
            caller_request=request.caller_request,
            clock=self._clock,
            attempts=attempts,
            queue=queue,
        )

    def _dispatch(
        self,
        request: AuthorizedRequest,
        times: RequestTimes,
        suspect_services: frozenset[str],
    ) -> Dispatch[SignedResponse]:
        route = request.route
        return dispatch(
            route,
            choose_services(route.target, self._rng),
            bind_workspace(
                self._dispatch_parts, request.workspace, self._find_workspace
            ),
            self._baselines.for_route(route),
            times,
            suspect_services=suspect_services,
        )
