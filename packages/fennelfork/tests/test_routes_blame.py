"""What the end of a call says of the server that was called."""

import pytest
from core_builders_routes import (
    AIM_MS,
    BROKEN,
    NO_CONNECTION,
    SHED,
    UNREACHED,
    server,
)

from fennelfork.routes import (
    Answered,
    CallEnd,
    CallRecord,
    Dropped,
    Failed,
    Send,
    ServerState,
    Silent,
    end_of_failure,
    note_end,
    pace,
)

_SEND = Send(
    attempt=1,
    server=server('archive', 'here'),
    repeat=False,
    sent_ms=0,
)


class TestBlame:
    """A server is judged by its own ends only."""

    @pytest.mark.parametrize(
        ('end', 'ejected'),
        [
            (Failed(failure=UNREACHED), True),
            (Failed(failure=BROKEN), False),
            (Failed(failure=SHED), False),
            (Failed(failure=NO_CONNECTION), False),
            (Silent(), False),
            (Dropped(), False),
            (Answered(), False),
        ],
    )
    def test_first_end(self, end: CallEnd, ejected: bool) -> None:
        """Only where nobody listens is a first failure enough."""
        state = _noted(end, 1)
        assert state.standing.ejected(101) is ejected
        assert state.outstanding == 0

    @pytest.mark.parametrize('end', [Failed(failure=BROKEN), Silent()])
    def test_time_after_time(self, end: CallEnd) -> None:
        """Five bad ends in a row are enough as well."""
        assert _noted(end, 5).standing.ejected(101)

    @pytest.mark.parametrize('end', [Failed(failure=SHED), Dropped()])
    def test_never(self, end: CallEnd) -> None:
        """A refusal and a call that was ended here say nothing bad."""
        assert not _noted(end, 50).standing.ejected(101)

    def test_silence_makes_slow(self) -> None:
        """One that did not answer in time is believed to be slow."""
        assert _noted(Silent(), 1).slowness(100) > 1

    def test_hurried_call(self) -> None:
        """A connection that had a millisecond to open says nothing."""
        assert end_of_failure(UNREACHED, 1) == Dropped()
        assert end_of_failure(UNREACHED, 1000) == Failed(failure=UNREACHED)
        assert end_of_failure(BROKEN, 1) == Failed(failure=BROKEN)


def _noted(end: CallEnd, times: int) -> ServerState:
    state = ServerState()
    record = CallRecord(
        send=_SEND,
        now_ms=100,
        pace=pace(AIM_MS),
        nearby=True,
    )
    for _ in range(times):
        state.sent(1, 0)
        note_end(end, record, state)
    return state
