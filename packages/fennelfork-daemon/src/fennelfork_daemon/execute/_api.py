"""Caller API for non-idempotent requests."""

import attrs
from returns.result import Failure as Failed
from returns.result import Success

from fennelfork import Blackboard, Clock
from fennelfork_daemon.execute._observer import ExecuteObserver
from fennelfork_daemon.execute._received_request import (
    ReceivedRequest,
    read_execute,
    with_unknown_verdict,
)
from fennelfork_daemon.execute._service import ExecuteService
from fennelfork_daemon.http._body import body_limits, refuse_body
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    failure_reply,
    json_reply,
)
from fennelfork_daemon.http._wsgi_request import read_json_object
from fennelfork_daemon.settings._tables import Settings


@attrs.frozen(kw_only=True)
class ExecuteApi:
    """Serves non-idempotent requests of callers over HTTP."""

    _service: ExecuteService
    _blackboard: Blackboard
    _clock: Clock
    _settings: Settings
    _observer: ExecuteObserver

    @property
    def routes(self) -> tuple[Route, ...]:
        """HTTP routes of non-idempotent requests."""
        return (
            Route(
                method='POST',
                path='/v1/fronts/{front}/execute',
                handler=self.execute,
            ),
        )

    def execute(self, request: HttpRequest) -> HttpReply:
        """Parse a request, run it and return the HTTP response."""
        limits = body_limits(self._settings)
        body = read_json_object(request.environ, limits)
        if isinstance(body, Failed):
            refusal = body.failure()
            failure = with_unknown_verdict(refusal.failure)
            return refuse_body(
                request,
                attrs.evolve(refusal, failure=failure),
            )
        tree = body.unwrap()
        received = read_execute(
            request.names['front'],
            tree,
            self._clock.now_ms(),
            self._settings.timeouts.longest_deadline_ms,
        )
        if isinstance(received, Success):
            return self._answer(received.unwrap())
        return failure_reply(received.failure(), str(tree.get('request_id')))

    def _answer(self, received: ReceivedRequest) -> HttpReply:
        started_ms = self._clock.now_ms()
        result = self._service.answer(received)
        took_ms = self._clock.now_ms() - started_ms
        self._observer.record_answer(received, result, took_ms)
        request = received.request
        if isinstance(result, Failed):
            return failure_reply(result.failure(), request.request_id)
        return json_reply(
            {
                'request_id': request.request_id,
                'key': request.key,
                'outcome': result.unwrap(),
                'config_version': self._blackboard.config_version,
                'took_ms': round(took_ms, 3),
            },
        )
