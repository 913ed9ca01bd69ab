"""Attempts of one request, sent at once or one at a time."""

from collections.abc import Iterable
from typing import Any

import attrs

from fennelfork._verdict import Failure, Verdict
from fennelfork.routes._attempt_gate import AttemptGate
from fennelfork.routes._send import Send
from fennelfork.routes._sender import Sender
from fennelfork.routes._sub_request import SubRequest


@attrs.frozen(kw_only=True)
class RequestAttempts:
    """Sends the attempts of one request that its attempt gate allows."""

    _idempotent: bool
    _sender: Sender
    _attempt_gate: AttemptGate
    _received_ms: float

    def send_first(
        self, sub_requests: Iterable[SubRequest[Any]], now_ms: float
    ) -> list[Send]:
        """Send the first attempts.

        The first attempts go to all services at once, or to a single service
        if the request is suspected.

        Args:
            sub_requests: sub-requests of the request.
            now_ms: current time.
        """
        known = list(sub_requests)
        unread_ms = now_ms - self._received_ms
        for sub_request in known:
            self._sender.record_request(sub_request, unread_ms)
        if self._attempt_gate.is_serial:
            return self._send_isolated(known, now_ms)
        return self._send_all(known, now_ms)

    def handle_response(self, attempt: int, now_ms: float) -> list[Send]:
        """Send the deferred attempts that a response lets proceed."""
        if not self._attempt_gate.record_response(attempt):
            return []
        return self._send_all(self._attempt_gate.take_deferred(), now_ms)

    def handle_failure(
        self,
        sub_request: SubRequest[Any],
        attempt: int,
        failure: Failure,
        now_ms: float,
        *,
        in_time: bool,
    ) -> list[Send]:
        """Send or defer a retry after a failed attempt, if a retry is allowed.

        Args:
            sub_request: sub-request of the failed attempt.
            attempt: number of the failed attempt.
            failure: failure of the attempt.
            now_ms: current time.
            in_time: whether the deadline of the request is in the future.
        """
        if self._attempt_gate.record_failure(
            attempt, connection_lost=failure.connection_lost
        ):
            self._abandon_all(sub_request, now_ms)
            return []
        if sub_request.part is not None:
            return []
        safe = self._idempotent or failure.verdict is Verdict.NOT_RUN
        allowed = safe and in_time
        if allowed and not self._attempt_gate.is_serial:
            return self._send(sub_request, now_ms)
        if allowed:
            self._attempt_gate.defer(sub_request)
        else:
            sub_request.is_abandoned = not sub_request.in_flight
        return self._send_next_deferred(now_ms)

    def send_hedge(
        self, sub_request: SubRequest[Any], now_ms: float
    ) -> list[Send]:
        """Send a hedge for a sub-request whose response is late.

        While attempts are sent one at a time, only the isolated attempt is
        hedged, so that a slow server delays the deferred attempts no longer
        than the hedge delay.

        Args:
            sub_request: sub-request whose response is late.
            now_ms: current time.
        """
        if not self._idempotent:
            return []
        alone = self._attempt_gate.is_serial
        if alone and not self._attempt_gate.isolates_any(sub_request.in_flight):
            return []
        sends = self._sender.send(
            sub_request, now_ms, only_healthy=True, alone=alone
        )
        self._attempt_gate.record_sent(sends)
        return sends

    def _send(self, sub_request: SubRequest[Any], now_ms: float) -> list[Send]:
        sends = self._sender.send(
            sub_request, now_ms, alone=self._attempt_gate.is_serial
        )
        sub_request.is_abandoned = not sends and not sub_request.in_flight
        self._attempt_gate.record_sent(sends)
        return sends

    def _send_all(
        self,
        sub_requests: Iterable[SubRequest[Any]],
        now_ms: float,
    ) -> list[Send]:
        return [
            send
            for sub_request in sub_requests
            for send in self._send(sub_request, now_ms)
        ]

    def _send_next_deferred(self, now_ms: float) -> list[Send]:
        """Send one deferred attempt unless an isolated one is in flight."""
        if self._attempt_gate.has_isolated_attempt:
            return []
        return self._send_isolated(self._attempt_gate.take_deferred(), now_ms)

    def _send_isolated(
        self,
        sub_requests: Iterable[SubRequest[Any]],
        now_ms: float,
    ) -> list[Send]:
        """Send for the first sub-request with a server, defer the others."""
        sends: list[Send] = []
        for sub_request in sub_requests:
            if sends:
                self._attempt_gate.defer(sub_request)
            else:
                sends = self._send(sub_request, now_ms)
        return sends

    def _abandon_all(self, failed: SubRequest[Any], now_ms: float) -> None:
        """Abandon the failed and all deferred sub-requests."""
        for sub_request in (failed, *self._attempt_gate.take_deferred()):
            sub_request.is_abandoned = not sub_request.in_flight
            sub_request.record_refusal(
                'no further attempt after a lost connection', now_ms
            )
