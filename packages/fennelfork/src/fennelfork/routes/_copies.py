"""Which copies of a request go out, one after the other or all at once."""

from collections.abc import Iterable
from typing import Any

import attrs

from fennelfork._verdict import Failure, Verdict
from fennelfork.routes._caution import Caution
from fennelfork.routes._leg import Leg
from fennelfork.routes._send import Send
from fennelfork.routes._sender import Sender


@attrs.frozen(kw_only=True)
class Copies:
    """The copies of one request, within what its caution allows."""

    _idempotent: bool
    _sender: Sender
    _caution: Caution

    def first(self, legs: Iterable[Leg[Any]], now_ms: float) -> list[Send]:
        """Send the first copies: to all services, or to one if in doubt."""
        known = list(legs)
        for leg in known:
            self._sender.note_request(leg)
        if self._caution.wary:
            return self._risk(known, now_ms)
        return self._send_all(known, now_ms)

    def after_answer(self, attempt: int, now_ms: float) -> list[Send]:
        """Send what waited for the answer to a copy."""
        if not self._caution.is_cleared_by(attempt):
            return []
        return self._send_all(self._caution.take_held(), now_ms)

    def after_failure(
        self,
        leg: Leg[Any],
        attempt: int,
        failure: Failure,
        now_ms: float,
        *,
        in_time: bool,
    ) -> list[Send]:
        """Send another copy, now or once that is safe, if one is allowed.

        Args:
            leg: whose copy failed.
            attempt: which copy.
            failure: why.
            now_ms: the time.
            in_time: whether the request still has time.
        """
        if self._caution.is_lost_by(attempt, broken_off=failure.broken_off):
            self._give_up(leg, now_ms)
            return []
        if leg.part is not None:
            return []
        safe = self._idempotent or failure.verdict is Verdict.NOT_RUN
        allowed = safe and in_time
        if allowed and not self._caution.wary:
            return self._send(leg, now_ms)
        if allowed:
            self._caution.hold(leg)
        else:
            leg.abandoned = not leg.running
        return self._risk_next(now_ms)

    def hedge(self, leg: Leg[Any], now_ms: float) -> list[Send]:
        """Send a second copy where the first is late.

        While one server at a time is risked, only for the copy that the others
        wait for: a server that is slow keeps them waiting no longer than that.
        """
        if not self._idempotent:
            return []
        alone = self._caution.wary
        if alone and not self._caution.risks_any(leg.running):
            return []
        sends = self._sender.send(leg, now_ms, only_healthy=True, alone=alone)
        self._caution.note_sent(sends)
        return sends

    def _send(self, leg: Leg[Any], now_ms: float) -> list[Send]:
        sends = self._sender.send(leg, now_ms, alone=self._caution.wary)
        leg.abandoned = not sends and not leg.running
        self._caution.note_sent(sends)
        return sends

    def _send_all(
        self,
        legs: Iterable[Leg[Any]],
        now_ms: float,
    ) -> list[Send]:
        return [send for leg in legs for send in self._send(leg, now_ms)]

    def _risk_next(self, now_ms: float) -> list[Send]:
        """Send for one of the legs that wait, unless a copy is at risk."""
        if self._caution.at_risk:
            return []
        return self._risk(self._caution.take_held(), now_ms)

    def _risk(self, legs: Iterable[Leg[Any]], now_ms: float) -> list[Send]:
        """Send for the first leg that has a server; the others wait."""
        sends: list[Send] = []
        for leg in legs:
            if sends:
                self._caution.hold(leg)
            else:
                sends = self._send(leg, now_ms)
        return sends

    def _give_up(self, broken: Leg[Any], now_ms: float) -> None:
        """Send nothing more: the one copy that was risked has broken off."""
        for leg in (broken, *self._caution.take_held()):
            leg.abandoned = not leg.running
            leg.denied('no further server is risked', now_ms)
