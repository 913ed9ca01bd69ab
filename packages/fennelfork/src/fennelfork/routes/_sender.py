"""Sends attempts of a request within the limits of route and retry budget."""

import itertools
from collections.abc import Iterator
from typing import Any, Final

import attrs

from fennelfork.routes._leg import Leg
from fennelfork.routes._pace import Pace
from fennelfork.routes._retry_budget import RetryBudgets
from fennelfork.routes._selection import Selection, Selector
from fennelfork.routes._send import Send
from fennelfork.routes._server_directory import BackendServer

# Bounds the attempts that do not count against the limit of the route: those
# that certainly did not run, and those whose new connection was reset.
_MAX_SENDS: Final = 6


@attrs.frozen(kw_only=True)
class DispatchParts:
    """Components that all dispatches of a daemon share.

    Attributes:
        selector: chooses the backend server of an attempt.
        retry_budgets: limits the extra attempts to each service.
        attempts: generates the numbers of attempts.
    """

    selector: Selector
    retry_budgets: RetryBudgets
    attempts: Iterator[int] = attrs.field(factory=itertools.count)


@attrs.frozen(kw_only=True)
class Sender:
    """Sends the attempts of one request.

    Attributes:
        pace: latency baseline of the route.
        max_attempts: maximum number of backend servers of each service that may
            run the request.
    """

    pace: Pace
    max_attempts: int
    _parts: DispatchParts

    def note_request(self, leg: Leg[Any]) -> None:
        """Record a request to a service in its retry budget."""
        self._parts.retry_budgets.note_request(leg.service)

    def send(
        self,
        leg: Leg[Any],
        now_ms: float,
        *,
        only_healthy: bool = False,
        alone: bool = False,
    ) -> list[Send]:
        """Send one attempt if the route, the servers and the budget allow it.

        Args:
            leg: sub-request that the attempt belongs to.
            now_ms: current time.
            only_healthy: whether to send nothing rather than to use an
                unhealthy server.
            alone: whether all other attempts of the request wait for the
                outcome of this attempt.

        Returns:
            The attempt, or nothing if no attempt is allowed.
        """
        if (
            leg.counted_attempts >= self.max_attempts
            or self._is_send_limit_reached(leg)
        ):
            leg.denied('no attempt is left', now_ms)
            return []
        server = self._choose_server(leg, only_healthy=only_healthy)
        repeat = leg.possible_arrivals > 0
        if server is None:
            return self._refuse(leg, 'no other server is available', now_ms)
        if repeat and not self._parts.retry_budgets.try_spend(leg.service):
            return self._refuse(leg, 'the retry budget is exhausted', now_ms)
        send = Send(
            attempt=next(self._parts.attempts),
            server=server,
            repeat=repeat,
            sent_ms=now_ms,
            alone=alone,
        )
        leg.record_attempt(send)
        leg.hedge_at_ms = now_ms + self.pace.hedge_after_ms
        return [send]

    def _is_send_limit_reached(self, leg: Leg[Any]) -> bool:
        return max(len(leg.tried), leg.resets) >= _MAX_SENDS

    def _choose_server(
        self,
        leg: Leg[Any],
        *,
        only_healthy: bool,
    ) -> BackendServer | None:
        """Choose a server that has not received the sub-request.

        If no such server is left, servers without a free connection are tried
        again: waiting for a connection delays the sub-request, while giving
        up fails the whole request.
        """
        wanted = Selection(
            service=leg.service,
            tried=leg.tried,
            pace=self.pace,
            only_healthy=only_healthy,
        )
        chosen = self._parts.selector.choose(wanted)
        if chosen is None and leg.readmit_unconnected():
            chosen = self._parts.selector.choose(wanted)
        return chosen

    def _refuse(self, leg: Leg[Any], reason: str, now_ms: float) -> list[Send]:
        leg.abandoned = not leg.running
        leg.denied(reason, now_ms)
        return []
