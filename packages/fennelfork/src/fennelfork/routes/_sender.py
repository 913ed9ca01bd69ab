"""Sends attempts of a request within the limits of route and retry budget."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from fennelfork._verdict import FailureCode, not_run
from fennelfork.routes._answer_delay import AnswerDelays
from fennelfork.routes._home_regions import HomeRegions
from fennelfork.routes._latency_baseline import LatencyBaseline
from fennelfork.routes._retry_budget import RetryBudgets
from fennelfork.routes._route import Route
from fennelfork.routes._selection import SelectionCriteria, Selector
from fennelfork.routes._send import Send
from fennelfork.routes._server_directory import BackendServer
from fennelfork.routes._sub_request import SubRequest

# Bounds the attempts that do not count against the limit of the route because
# they certainly did not run.
_MAX_SENDS: Final = 6


@attrs.frozen(kw_only=True)
class DispatchParts:
    """Components that all dispatches of a daemon share.

    Attributes:
        selector: chooses the backend server of an attempt.
        retry_budgets: limits the extra attempts to each service.
        home_regions_of: returns the home regions of a route in the active
            version of the configuration.
        answer_delays: delays between decisions to answer and answers.
        attempts: generates the numbers of attempts.
    """

    selector: Selector
    retry_budgets: RetryBudgets
    home_regions_of: Callable[[Route], HomeRegions]
    answer_delays: AnswerDelays = attrs.field(factory=AnswerDelays)
    attempts: Iterator[int] = attrs.field(factory=itertools.count)


@attrs.frozen(kw_only=True)
class Sender:
    """Sends the attempts of one request.

    Attributes:
        latency_baseline: latency baseline of the route.
        max_attempts: maximum number of backend servers of each service that may
            run the request.
    """

    latency_baseline: LatencyBaseline
    max_attempts: int
    _parts: DispatchParts
    _home_regions: Callable[[], HomeRegions]

    def record_request(
        self, sub_request: SubRequest[Any], unread_ms: float
    ) -> None:
        """Record a request to a service in its retry budget."""
        self._parts.retry_budgets.record_request(sub_request.service, unread_ms)

    def send(
        self,
        sub_request: SubRequest[Any],
        now_ms: float,
        *,
        only_healthy: bool = False,
        alone: bool = False,
    ) -> list[Send]:
        """Send one attempt if the route, the servers and the budget allow it.

        Args:
            sub_request: sub-request that the attempt belongs to.
            now_ms: current time.
            only_healthy: whether to send nothing rather than to use an
                unhealthy server.
            alone: whether all other attempts of the request wait for the
                outcome of this attempt.

        Returns:
            The attempt, or nothing if no attempt is allowed.
        """
        if (
            sub_request.possible_runs >= self.max_attempts
            or len(sub_request.tried) >= _MAX_SENDS
        ):
            sub_request.record_refusal('no attempt is left', now_ms)
            return []
        server = self._choose_server(sub_request, only_healthy=only_healthy)
        repeat = sub_request.possible_arrivals > 0
        if server is None:
            return self._refuse_without_server(sub_request, now_ms)
        if repeat and not self._parts.retry_budgets.try_spend(
            sub_request.service
        ):
            return self._refuse(
                sub_request, 'the retry budget is exhausted', now_ms
            )
        send = Send(
            attempt=next(self._parts.attempts),
            server=server,
            repeat=repeat,
            sent_ms=now_ms,
            alone=alone,
        )
        sub_request.record_attempt(send)
        self._parts.selector.record_sent(server)
        sub_request.hedge_at_ms = now_ms + self.latency_baseline.hedge_after_ms
        return [send]

    def _choose_server(
        self,
        sub_request: SubRequest[Any],
        *,
        only_healthy: bool,
    ) -> BackendServer | None:
        """Choose a server that has not received the sub-request.

        If no such server is left, servers without a free connection are tried
        again: waiting for a connection delays the sub-request, while giving
        up fails the whole request.
        """
        criteria = SelectionCriteria(
            service=sub_request.service,
            tried=sub_request.tried,
            latency_baseline=self.latency_baseline,
            only_healthy=only_healthy,
            home_regions=self._home_regions(),
        )
        chosen = self._parts.selector.choose(criteria)
        if chosen is None and sub_request.readmit_unconnected():
            chosen = self._parts.selector.choose(criteria)
        return chosen

    def _refuse_without_server(
        self, sub_request: SubRequest[Any], now_ms: float
    ) -> list[Send]:
        regions = self._home_regions()
        reason = 'no other server is available'
        if regions is not None:
            names = ', '.join(sorted(regions)) or 'none'
            reason = f'{reason} in the home regions: {names}'
        if not sub_request.tried:
            sub_request.failure = not_run(FailureCode.NO_SERVER, reason)
        return self._refuse(sub_request, reason, now_ms)

    def _refuse(
        self, sub_request: SubRequest[Any], reason: str, now_ms: float
    ) -> list[Send]:
        sub_request.is_abandoned = not sub_request.in_flight
        sub_request.record_refusal(reason, now_ms)
        return []
