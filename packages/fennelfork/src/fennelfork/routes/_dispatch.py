"""Dispatch of one request: decides on attempts, hedges and the end."""

import enum
import math
from collections.abc import Collection
from typing import Final, Generic, TypeVar

import attrs

from fennelfork._verdict import Failure
from fennelfork.routes._attempt_gate import attempt_gate
from fennelfork.routes._home_regions import common_home_regions
from fennelfork.routes._latency_baseline import LatencyBaseline
from fennelfork.routes._patience import Patience, patience
from fennelfork.routes._request_attempts import RequestAttempts
from fennelfork.routes._request_times import RequestTimes
from fennelfork.routes._route import Route, min_parts
from fennelfork.routes._send import Send
from fennelfork.routes._sender import DispatchParts, Sender
from fennelfork.routes._sub_request import SubRequest
from fennelfork.routes._sub_requests import SubRequests
from fennelfork.routes._write_gate import WriteGate

_Part = TypeVar('_Part')

# Time before the timeout of the caller at which a request times out, so that
# the answer still reaches the caller.
_TIMEOUT_MARGIN_MS: Final = 30.0


@enum.unique
class FinishReason(enum.Enum):
    """Reason why a request has finished.

    `SETTLED`: the outcome of every sub-request is final. `PARTIAL`: the
    latency target is reached and the responses suffice. `TIMEOUT`: the
    request has timed out.
    """

    SETTLED = 'settled'
    PARTIAL = 'partial'
    TIMEOUT = 'timeout'


@attrs.define(kw_only=True)
class Dispatch(Generic[_Part]):
    """Maps the events of one request to the attempts that are due.

    Attributes:
        route: route of the request at the time of its arrival.
        latency_baseline: latency baseline of the route.
        patience: decides when a partial answer is sent.
        write_gate: last check of each attempt before its request is written.
        hedges: number of hedges that were sent.
        retries: number of retries that were sent.
    """

    route: Route
    latency_baseline: LatencyBaseline
    patience: Patience
    write_gate: WriteGate
    hedges: int = 0
    retries: int = 0
    _sub_requests: SubRequests[_Part]
    _request_attempts: RequestAttempts
    _min_parts: int
    _deadline_ms: float
    _has_ended: bool = False
    _answer_at_ms: float | None = None

    @property
    def sub_requests(self) -> dict[str, SubRequest[_Part]]:
        """Sub-requests, by service."""
        return self._sub_requests.by_service

    @property
    def response_count(self) -> int:
        """Number of sub-requests with a response."""
        return self._sub_requests.response_count

    @property
    def is_sufficient(self) -> bool:
        """Whether the responses suffice for a successful answer."""
        return self.response_count >= self._min_parts

    @property
    def deadline_ms(self) -> float:
        """Time at which the request times out."""
        return self._deadline_ms

    def start(self, now_ms: float) -> list[Send]:
        """Send the first attempts.

        Returns:
            One attempt per service, or a single attempt if the request is
            suspected to be a poison request.
        """
        sends = self._request_attempts.send_first(
            self.sub_requests.values(), now_ms
        )
        self._sub_requests.record_sends(sends)
        return sends

    def on_response(
        self, attempt: int, part: _Part, now_ms: float
    ) -> list[Send]:
        """Record the response to an attempt; the first of a service counts.

        Returns:
            Attempts that were held back until this response.
        """
        sub_request = self._sub_requests.take(attempt)
        if sub_request is None:
            return []
        self._sub_requests.record_response(sub_request, attempt, part, now_ms)
        self._answer_at_ms = None
        if self._has_ended:
            return []
        sends = self._request_attempts.handle_response(attempt, now_ms)
        self._sub_requests.record_sends(sends)
        return sends

    def on_failure(
        self, attempt: int, failure: Failure, now_ms: float
    ) -> list[Send]:
        """Record the failure of an attempt.

        Returns:
            Retries that are allowed now.
        """
        sub_request = self._sub_requests.take(attempt)
        if sub_request is None:
            return []
        sub_request.record_failure(attempt, failure, now_ms)
        if self._has_ended:
            return []
        in_time = now_ms < self._deadline_ms
        sends = self._request_attempts.handle_failure(
            sub_request, attempt, failure, now_ms, in_time=in_time
        )
        self._sub_requests.record_sends(sends)
        self.retries += len(sends)
        self._answer_at_ms = None
        return sends

    def end(self) -> None:
        """Send and write no further attempt, whatever the outcomes are."""
        self._has_ended = True
        self.write_gate.close()

    def send_hedges(self, now_ms: float) -> list[Send]:
        """Send the hedges of sub-requests that are due."""
        sends = [
            send
            for sub_request in self._sub_requests.take_due_hedges(now_ms)
            for send in self._request_attempts.send_hedge(sub_request, now_ms)
        ]
        self._sub_requests.record_sends(sends)
        self.hedges += len(sends)
        if sends:
            self._answer_at_ms = None
        return sends

    def finish_reason(self, now_ms: float) -> FinishReason | None:
        """Return the reason why the request has finished, if it has."""
        if self._sub_requests.are_settled:
            return FinishReason.SETTLED
        if now_ms >= self._deadline_ms:
            return FinishReason.TIMEOUT
        if now_ms >= self._choose_answer_ms(now_ms):
            return FinishReason.PARTIAL
        return None

    def next_timer_ms(self, now_ms: float) -> float:
        """Return the next time at which hedges or the timeout may be due."""
        return min(
            self._deadline_ms,
            self._choose_answer_ms(now_ms),
            self._sub_requests.hedge_due_ms,
        )

    def _choose_answer_ms(self, now_ms: float) -> float:
        """Return the time at which a partial answer is sent, if it suffices.

        The time is chosen again after each response, failure and hedge.
        """
        if now_ms < self.patience.first_check_ms:
            return self.patience.first_check_ms
        if self._answer_at_ms is None:
            self._answer_at_ms = math.inf
            if self.is_sufficient:
                self._answer_at_ms = self.patience.choose_answer_ms(
                    self.sub_requests.values(), now_ms
                )
        return self._answer_at_ms


def can_meet_deadline(baseline: LatencyBaseline, left_ms: float) -> bool:
    """Whether the learned latency of a route allows an answer in time.

    Args:
        baseline: latency baseline of the route.
        left_ms: time until the deadline of the caller.
    """
    return left_ms - _TIMEOUT_MARGIN_MS > baseline.least_ms


def dispatch(
    route: Route,
    services: tuple[str, ...],
    parts: DispatchParts,
    latency_baseline: LatencyBaseline,
    times: RequestTimes,
    *,
    suspect_services: Collection[str] = (),
) -> Dispatch[_Part]:
    """Create the state that decides on the attempts of one request.

    Args:
        route: route of the request.
        services: services that the request is sent to.
        parts: components that all dispatches share.
        latency_baseline: latency baseline of the route.
        times: times of the request.
        suspect_services: services whose servers crashed while they ran the
            same request; these services get the first attempts.
    """
    timeout_ms = min(times.timeout_ms, route.timeout_ms)
    deadline_ms = times.received_ms + max(timeout_ms - _TIMEOUT_MARGIN_MS, 0)
    ordered = sorted(
        services, key=lambda service: service not in suspect_services
    )
    sub_requests: SubRequests[_Part] = SubRequests(
        by_service={service: SubRequest(service=service) for service in ordered}
    )
    return Dispatch(
        route=route,
        latency_baseline=latency_baseline,
        write_gate=WriteGate(
            sub_requests=sub_requests,
            retry_budgets=parts.retry_budgets,
            directory=parts.selector.directory,
            deadline_ms=deadline_ms,
        ),
        sub_requests=sub_requests,
        min_parts=min_parts(route.target),
        request_attempts=RequestAttempts(
            idempotent=route.idempotent,
            sender=Sender(
                parts=parts,
                latency_baseline=latency_baseline,
                max_attempts=route.max_attempts,
                home_regions=lambda: common_home_regions(
                    route.home_regions, parts.home_regions_of(route)
                ),
            ),
            attempt_gate=attempt_gate(suspected=bool(suspect_services)),
            received_ms=times.received_ms,
        ),
        patience=patience(
            route,
            times,
            parts,
            latency_baseline,
        ),
        deadline_ms=deadline_ms,
    )
