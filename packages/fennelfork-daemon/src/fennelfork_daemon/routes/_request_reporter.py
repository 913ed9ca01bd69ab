"""What a daemon that serves routes logs and counts of its requests."""

import traceback
import zlib
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork.routes import (
    AttemptOutcome,
    ConcurrencyLimit,
    Failed,
    Route,
    Send,
)
from fennelfork_daemon.logs._budget import DecisionLog
from fennelfork_daemon.routes import _events_process as process
from fennelfork_daemon.routes import _events_requests as requests
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes._answer import Answer, Forwarded, Merged, Refused
from fennelfork_daemon.routes._ask import Ask
from fennelfork_daemon.routes._metrics import RequestFacts, RouteMetrics

_CLIENT_ERROR: Final = 400
# Sent and answered.
_USUAL_EVENTS: Final = 2
# Of the requests that went as usual, one in so many is told: at the 60 a
# second of a busy daemon, one a second.
_SAMPLE: Final = 64


@attrs.frozen(kw_only=True)
class RequestReporter:
    """Counts requests, and logs those that did not go as usual."""

    _log: DecisionLog
    _clock: Clock
    _metrics: RouteMetrics

    def refused(
        self,
        refused: Refused,
        version: int,
        ask: Ask | None,
    ) -> None:
        """A request was refused before anything was sent.

        Args:
            refused: what its caller is answered.
            version: of the configuration in force, zero for none.
            ask: the request, if it could be read.
        """
        failure = refused.failure
        self._log.tell(
            requests.RequestRefused(
                request=refused.request_id,
                fingerprint=None if ask is None else ask.fingerprint,
                code=failure.code.value,
                reason=failure.detail,
                version=version,
            ),
        )

    def ejected(
        self,
        send: Send,
        end: AttemptOutcome,
        length_ms: float,
        outstanding: int,
    ) -> None:
        """A backend server gets no work for a while."""
        self._log.tell(
            servers.ServerEjected(
                server=send.server.instance,
                service=send.server.service,
                for_ms=round(length_ms),
                reason=_reason(end),
                outstanding=outstanding,
            ),
        )

    def back(self, send: Send) -> None:
        """A backend server that was ejected answered well again."""
        self._log.tell(
            servers.ServerBack(
                server=send.server.instance,
                service=send.server.service,
            ),
        )

    def server_ended(self, send: Send, ask: Ask) -> None:
        """A backend server ended while it had a request."""
        self._log.tell(
            servers.ServerEnded(
                server=send.server.instance,
                service=send.server.service,
                request=ask.request_id,
                fingerprint=ask.fingerprint,
                after_ms=round(self._clock.now_ms() - send.sent_ms),
                alone=send.alone,
            ),
        )

    def fell_behind(self, late_ms: float) -> None:
        """This process woke late, which is a sign of overload."""
        self._log.tell(process.FellBehind(late_ms=round(late_ms)))

    def limit_fell(self, route: Route, limit: ConcurrencyLimit) -> None:
        """Fewer requests to the services of a route are worked on at once."""
        self._log.tell(
            requests.LimitFell(
                route=route.name,
                limit=round(limit.limit),
                under_way=limit.in_flight,
            ),
        )

    def defect(self, error: Exception) -> None:
        """A defect of this program ended a request."""
        trace = ''.join(traceback.format_exception(error))
        self._log.tell(process.Defect(error=repr(error), trace=trace))

    def ended(
        self,
        ask: Ask,
        request: Any,
        answer: Answer,
        came_ms: float,
    ) -> None:
        """A request was answered; told unless all went as usual."""
        dispatch = request.dispatch
        now_ms = self._clock.now_ms()
        took_ms = now_ms - came_ms
        self._metrics.observe(
            RequestFacts(
                route=dispatch.route.name,
                outcome=_outcome(answer),
                took_ms=took_ms,
                hedges=dispatch.hedges,
                retries=dispatch.retries,
                missing=tuple(_missing(dispatch)),
            ),
        )
        in_time = took_ms <= dispatch.route.latency_target_ms
        extra = dispatch.hedges or dispatch.retries
        usual = in_time and not extra and _is_whole(answer)
        if usual and not is_sampled(ask.request_id):
            return
        self._log.tell(
            requests.RequestEnded(
                request=ask.request_id,
                fingerprint=ask.fingerprint,
                route=dispatch.route.name,
                took_ms=round(took_ms),
                aim_ms=dispatch.route.latency_target_ms,
                left_ms=round(dispatch.deadline_ms - now_ms),
                usual_ms=round(dispatch.pace.usual_ms),
                hedge_ms=round(dispatch.pace.hedge_after_ms),
                ending=getattr(request.finish_reason, 'value', 'caller_left'),
                parts=f'{dispatch.response_count}/{len(dispatch.sub_requests)}',
                hedges=dispatch.hedges,
                retries=dispatch.retries,
                answer=_outcome(answer),
                version=request.version,
                sampled=usual,
                steps=_steps(dispatch, came_ms, whole=usual),
            ),
        )


def is_sampled(request_id: str) -> bool:
    """Tell whether a request is told although all went as usual.

    The same ids are drawn in every daemon, whatever they look like.
    """
    return zlib.crc32(request_id.encode(errors='replace')) % _SAMPLE == 0


def _reason(end: AttemptOutcome) -> str:
    if isinstance(end, Failed):
        return end.failure.detail
    return 'it answered nothing while it was waited for'


def _is_whole(answer: Answer) -> bool:
    if isinstance(answer, Merged):
        return not answer.missing
    return isinstance(answer, Forwarded) and _is_good(answer)


def _is_good(answer: Forwarded) -> bool:
    return answer.answer.status < _CLIENT_ERROR


def _outcome(answer: Answer) -> str:
    if isinstance(answer, Refused):
        failure = answer.failure
        return f'{failure.code.value}, {failure.verdict.value}'
    if isinstance(answer, Forwarded):
        return str(answer.answer.status)
    return 'partial' if answer.missing else 'whole'


def _missing(dispatch: Any) -> list[str]:
    """Give the services whose part is not in."""
    return [
        sub_request.service
        for sub_request in dispatch.sub_requests.values()
        if sub_request.part is None
    ]


def _steps(
    dispatch: Any,
    came_ms: float,
    *,
    whole: bool,
) -> dict[str, list[str]]:
    """Tell what was done for each part that did not go as usual.

    Each step is the server, the ms after the request came, and what it was.

    Args:
        dispatch: of the request.
        came_ms: when the request came.
        whole: tell of all parts.
    """
    return {
        sub_request.service: [
            f'{event.instance} {event.at_ms - came_ms:.0f} {event.description}'
            for event in sub_request.events
        ]
        for sub_request in dispatch.sub_requests.values()
        if whole
        or sub_request.part is None
        or len(sub_request.events) > _USUAL_EVENTS
    }
