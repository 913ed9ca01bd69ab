"""The caller face of routes, as a WSGI application."""

import contextlib
import random
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs
from eventlet.queue import LightQueue
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Clock, Failure, FailureCode, may_have_run, not_run
from fennelfork.routes import (
    CallerLimits,
    ConcurrencyLimits,
    Dispatch,
    DispatchParts,
    LatencyBaselines,
    Route,
    RouteTable,
    choose_services,
    dispatch,
)
from fennelfork_daemon.http._wsgi_protocol import CONNECTION_KEY
from fennelfork_daemon.routes._answer import Answer, Refused
from fennelfork_daemon.routes._ask import Ask, BackendAnswer
from fennelfork_daemon.routes._body import read_body
from fennelfork_daemon.routes._caller_calls import CallParts, RequestCalls
from fennelfork_daemon.routes._caller_watch import CallerWatch
from fennelfork_daemon.routes._first_routes import FIRST_LIMITS, FirstRoutes
from fennelfork_daemon.routes._ports import CallerCodec
from fennelfork_daemon.routes._request import RunningRequest

# A daemon that has no routes yet gets them as soon as the store answers,
# which it asks some times a second.
_NO_ROUTES_RETRY_MS: Final = 300
_NO_ROUTES_YET: Final = not_run(
    FailureCode.PLATFORM,
    'no configuration is known yet',
    retry_after_ms=_NO_ROUTES_RETRY_MS,
)
# Overload lasts for seconds. At five times the usual traffic callers got 0.643
# and 0.674 of what they are owed with half of this, 0.664 and 0.678 with it.
_TOO_MANY_RETRY_MS: Final = 1000
_DEFECT: Final = may_have_run(FailureCode.INTERNAL, 'a defect; see the log')


@attrs.frozen(kw_only=True)
class RouteFace:
    """Answers the requests of callers.

    Attributes:
        limits: how many requests are worked on at once.
    """

    limits: ConcurrencyLimits
    _first_routes: FirstRoutes
    _clock: Clock
    _codec: CallerCodec
    _calls: CallParts
    _dispatch_parts: DispatchParts
    _baselines: LatencyBaselines
    _rng: random.Random

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        reply = self._codec.write_answer(self._answer_or_report(environ))
        length = ('Content-Length', str(len(reply.body)))
        start_response(reply.status_line, [*reply.headers, length])
        return [reply.body]

    def _answer_or_report(self, environ: dict[str, Any]) -> Answer:
        """Answer, also where a defect of our own is in the way."""
        try:
            return self._answer(environ)
        except Exception as error:
            self._calls.reporter.defect(error)
            return Refused(failure=_DEFECT, request_id=None)

    def _answer(self, environ: dict[str, Any]) -> Answer:
        came_ms = self._clock.now_ms()
        table = self._first_routes.wait()
        ask = self._read(
            environ, FIRST_LIMITS if table is None else table.limits
        )
        if not is_successful(ask):
            return self._refuse(ask.failure(), None)
        known = ask.unwrap()
        if table is None:
            return self._refuse(_NO_ROUTES_YET, known)
        route = table.find(known.host, known.path)
        if route is None:
            return self._refuse(_no_route(known), known)
        admitted = self._calls.guard.admit(known.fingerprint)
        if not is_successful(admitted):
            return self._refuse(admitted.failure(), known)
        if not self.limits.try_admit(route):
            return self._refuse(self._too_many(route), known)
        with contextlib.ExitStack() as over:
            over.callback(self.limits.release, route)
            request = self._request(
                known,
                table,
                route,
                came_ms,
                admitted.unwrap(),
            )
            return self._see_through(environ, known, request, came_ms)

    def _see_through(
        self,
        environ: dict[str, Any],
        known: Ask,
        request: RunningRequest,
        came_ms: float,
    ) -> Answer:
        watch = CallerWatch(connection=environ[CONNECTION_KEY])
        with watch.leaving(request.leave):
            answer = request.run()
        self._calls.reporter.ended(known, request, answer, came_ms)
        took_ms = self._clock.now_ms() - came_ms
        if self.limits.record_outcome(request.dispatch, took_ms):
            route = request.dispatch.route
            self._calls.reporter.limit_fell(route, self.limits.for_route(route))
        return answer

    def _too_many(self, route: Route) -> Failure:
        limit = self.limits.for_route(route)
        return not_run(
            FailureCode.SHED,
            f'{limit.in_flight} requests are under way to these services, '
            f'the limit is {limit.limit:.0f}',
            retry_after_ms=_TOO_MANY_RETRY_MS,
        )

    def _refuse(self, failure: Failure, ask: Ask | None) -> Refused:
        request_id = None if ask is None else ask.request_id
        refused = Refused(failure=failure, request_id=request_id)
        self._calls.reporter.refused(refused, self._first_routes.version, ask)
        return refused

    def _read(
        self,
        environ: dict[str, Any],
        limits: CallerLimits,
    ) -> Result[Ask, Failure]:
        body = read_body(environ, limits.body_bytes, limits.header_ms)
        return body.bind(lambda found: self._codec.read_ask(environ, found))

    def _request(
        self,
        ask: Ask,
        table: RouteTable,
        route: Route,
        came_ms: float,
        suspect_services: frozenset[str],
    ) -> RunningRequest:
        left_ms = route.timeout_ms if ask.left_ms is None else ask.left_ms
        running: Dispatch[BackendAnswer] = dispatch(
            route,
            choose_services(route.target, self._rng),
            self._dispatch_parts,
            self._baselines.for_route(route),
            (came_ms, left_ms),
            suspect_services=suspect_services,
        )
        inbox = LightQueue()
        calls = RequestCalls(
            parts=self._calls,
            ask=ask,
            pace=running.pace,
            end_ms=running.deadline_ms,
            fresh=not route.idempotent,
            tell=lambda attempt, outcome: inbox.put((attempt, outcome)),
        )
        return RunningRequest(
            dispatch=running,
            version=table.version,
            ask=ask,
            clock=self._clock,
            calls=calls,
            inbox=inbox,
        )


def _no_route(ask: Ask) -> Failure:
    detail = f'no route of {ask.host} begins {ask.path}'
    return not_run(FailureCode.UNKNOWN_FRONT, detail)
