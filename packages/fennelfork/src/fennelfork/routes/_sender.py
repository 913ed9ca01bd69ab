"""Sends copies of a request within what its route and the budget allow."""

import itertools
from collections.abc import Iterator
from typing import Any, Final

import attrs

from fennelfork.routes._leg import Leg
from fennelfork.routes._pace import Pace
from fennelfork.routes._retry_budget import Allowances
from fennelfork.routes._selection import Selection, Selector
from fennelfork.routes._send import Send
from fennelfork.routes._server_directory import BackendServer

# Copies that surely did not run, or whose connection was reset before it
# carried anything, are sent again at most this often.
_MOST_SENDS: Final = 6


@attrs.frozen(kw_only=True)
class DispatchParts:
    """What every dispatch of a daemon shares."""

    selector: Selector
    allowances: Allowances
    attempts: Iterator[int] = attrs.field(factory=itertools.count)


@attrs.frozen(kw_only=True)
class Sender:
    """Decides on the copies of one request.

    Attributes:
        pace: of its route.
        attempts: the most servers, of each service, that may run it.
    """

    pace: Pace
    attempts: int
    _parts: DispatchParts

    def note_request(self, leg: Leg[Any]) -> None:
        """Note the first send to a service."""
        self._parts.allowances.note_request(leg.service)

    def send(
        self,
        leg: Leg[Any],
        now_ms: float,
        *,
        only_healthy: bool = False,
        alone: bool = False,
    ) -> list[Send]:
        """Send one copy, if a run, a server and the allowance are left.

        Args:
            leg: the part of the request that the copy is for.
            now_ms: the time.
            only_healthy: rather send none than to a server in doubt.
            alone: whether all other copies wait for what comes of it.
        """
        if leg.attempts >= self.attempts or self._sent_enough(leg):
            leg.denied('no further attempt is left', now_ms)
            return []
        server = self._choose(leg, only_healthy=only_healthy)
        repeat = leg.arrivals > 0
        if server is None:
            return self._deny(leg, 'no other server is fit', now_ms)
        if repeat and not self._parts.allowances.take(leg.service):
            return self._deny(leg, 'no repeat is allowed now', now_ms)
        send = Send(
            attempt=next(self._parts.attempts),
            server=server,
            repeat=repeat,
            sent_ms=now_ms,
            alone=alone,
        )
        leg.sent(send)
        leg.hedge_ms = now_ms + self.pace.hedge_ms
        return [send]

    def _sent_enough(self, leg: Leg[Any]) -> bool:
        return max(len(leg.tried), leg.cut) >= _MOST_SENDS

    def _choose(
        self,
        leg: Leg[Any],
        *,
        only_healthy: bool,
    ) -> BackendServer | None:
        """Choose a server that was not tried.

        Where none is left, those count that were not reached for want of a
        connection. After a loss of all power every caller comes back at once,
        and a request whose parts wait some 100 ms for a connection is
        answered, while one that gives up is lost with all its other parts.
        """
        wanted = Selection(
            service=leg.service,
            tried=leg.tried,
            pace=self.pace,
            only_healthy=only_healthy,
        )
        chosen = self._parts.selector.choose(wanted)
        if chosen is None and leg.forget_unconnected():
            chosen = self._parts.selector.choose(wanted)
        return chosen

    def _deny(self, leg: Leg[Any], reason: str, now_ms: float) -> list[Send]:
        leg.abandoned = not leg.running
        leg.denied(reason, now_ms)
        return []
