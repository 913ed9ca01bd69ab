"""Effect of the outcome of an attempt on the state of its server."""

import pytest
from core_builders_routes import (
    BROKEN_CONNECTION,
    LATENCY_TARGET_MS,
    MISDIRECTED,
    NO_CONNECTION,
    SHED,
    UNREACHABLE,
    server,
)

from fennelfork.routes import (
    AttemptOutcome,
    AttemptRecord,
    Failed,
    Inconclusive,
    Send,
    ServerState,
    Succeeded,
    Unresponsive,
    classify_failure,
    latency_baseline,
    record_outcome,
)

_SEND = Send(
    attempt=1,
    server=server('archive', 'here'),
    repeat=False,
    sent_ms=0,
)


class TestRecordOutcome:
    """Ejection and latency after the outcomes of attempts."""

    @pytest.mark.parametrize(
        ('outcome', 'ejected'),
        [
            (Failed(failure=UNREACHABLE), True),
            (Failed(failure=BROKEN_CONNECTION), False),
            (Failed(failure=SHED), False),
            (Failed(failure=NO_CONNECTION), False),
            (Unresponsive(), False),
            (Inconclusive(), False),
            (Succeeded(), False),
        ],
    )
    def test_first_failure(
        self, outcome: AttemptOutcome, ejected: bool
    ) -> None:
        """Only a refused connection ejects a server at once."""
        state = _state_after(outcome, 1)
        assert state.ejection.is_ejected(101) is ejected
        assert state.outstanding == 0

    @pytest.mark.parametrize(
        'outcome', [Failed(failure=BROKEN_CONNECTION), Unresponsive()]
    )
    def test_repeated_failure(self, outcome: AttemptOutcome) -> None:
        """Five consecutive failures eject a server."""
        assert _state_after(outcome, 5).ejection.is_ejected(101)

    @pytest.mark.parametrize('outcome', [Failed(failure=SHED), Inconclusive()])
    def test_not_attributed_to_server(self, outcome: AttemptOutcome) -> None:
        """Load shedding and inconclusive attempts never eject a server."""
        assert not _state_after(outcome, 50).ejection.is_ejected(101)

    def test_timeout_raises_latency(self) -> None:
        """A server that does not respond in time counts as slow."""
        assert _state_after(Unresponsive(), 1).latency_ratio(100) > 1

    def test_short_time_limit(self) -> None:
        """A connection with too little time to open is inconclusive."""
        assert classify_failure(UNREACHABLE, 1) == Inconclusive()
        assert classify_failure(UNREACHABLE, 1000) == Failed(
            failure=UNREACHABLE
        )
        assert classify_failure(MISDIRECTED, 1) == Failed(failure=MISDIRECTED)
        assert classify_failure(BROKEN_CONNECTION, 1) == Failed(
            failure=BROKEN_CONNECTION
        )


def _state_after(outcome: AttemptOutcome, times: int) -> ServerState:
    state = ServerState()
    record = AttemptRecord(
        send=_SEND,
        now_ms=100,
        latency_baseline=latency_baseline(LATENCY_TARGET_MS),
        nearby=True,
    )
    for _ in range(times):
        state.record_sent(1, 0)
        record_outcome(outcome, record, state)
    return state
