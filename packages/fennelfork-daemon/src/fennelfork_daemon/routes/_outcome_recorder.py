"""Effect of the outcomes of attempts on backend servers and retry budgets."""

from collections import Counter

import attrs

from fennelfork import Clock
from fennelfork.routes import (
    AttemptOutcome,
    AttemptRecord,
    Failed,
    LatencyBaseline,
    RetryBudgets,
    Selector,
    Send,
    ServerState,
    classify_unsent,
    record_outcome,
)
from fennelfork_daemon.backend._pool import ConnectionTrace
from fennelfork_daemon.routes._request_reporter import RequestReporter


@attrs.frozen(kw_only=True)
class OutcomeRecorder:
    """Records the outcomes of the attempts of one request."""

    _clock: Clock
    _selector: Selector
    _reporter: RequestReporter
    _latency_baseline: LatencyBaseline
    _retry_budgets: RetryBudgets
    _running: Counter[str] = attrs.field(factory=Counter)
    _unsettled: Counter[str] = attrs.field(factory=Counter)

    def state_of(self, send: Send) -> ServerState:
        """Return the state of the server of an attempt."""
        return self._selector.states.for_incarnation(send.server.incarnation)

    def classify_unsent(self, trace: ConnectionTrace) -> AttemptOutcome:
        """Classify an attempt that ends now without a connection.

        The time before its connection was opened says nothing of its server.
        """
        now_ms = self._clock.now_ms()
        since_ms = trace.opening_since_ms
        return classify_unsent(0 if since_ms is None else now_ms - since_ms)

    def record(self, send: Send, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt that ends now."""
        record = AttemptRecord(
            send=send,
            now_ms=self._clock.now_ms(),
            latency_baseline=self._latency_baseline,
            nearby=self._selector.distances.is_local(send.server.data_centre),
        )
        self._record_misdirected(send, outcome)
        state = self.state_of(send)
        was_ejected = state.ejection.is_ejected(record.now_ms)
        was_in_slow_start = state.ejection.in_slow_start
        record_outcome(outcome, record, state)
        if was_in_slow_start and not state.ejection.in_slow_start:
            self._reporter.log_recovery(send)
        if not was_ejected and state.ejection.is_ejected(record.now_ms):
            self._reporter.log_ejection(
                send,
                outcome,
                state.ejection.ejected_until_ms - record.now_ms,
                state.outstanding,
            )

    def record_start(self, send: Send) -> None:
        """Record that an attempt starts."""
        self.state_of(send).record_sent(send.attempt, send.sent_ms)
        self._running[send.server.service] += 1

    def record_end(self, send: Send, trace: ConnectionTrace) -> None:
        """Record that an attempt has ended and sends nothing from now on.

        The extra attempts to a service end with the last attempt of all: an
        earlier attempt that is held back is the extra arrival then.
        """
        service = send.server.service
        self._running[service] -= 1
        if send.repeat and trace.may_be_sent:
            self._unsettled[service] += 1
        elif send.repeat:
            self._retry_budgets.give_back(service)
        if not self._running[service]:
            for _ in range(self._unsettled.pop(service, 0)):
                self._retry_budgets.record_end(service)

    def _record_misdirected(self, send: Send, outcome: AttemptOutcome) -> None:
        """Count a request at the service that has received it by its address."""
        if not (isinstance(outcome, Failed) and outcome.failure.was_received):
            return
        service = self._selector.directory.find_other_service(send.server)
        if service is not None:
            self._retry_budgets.record_misdirected(service)
