"""All daemons come back at once after a loss of power.

The pattern: every caller returns within some 100 ms, to daemons without a
connection, while backend servers still count the connections of before the
loss. A server at its limit resets further connections as they are opened. With
9 daemons at 3 connections a server it holds 27 of 31 for some seconds, so most
of the first connections of each daemon are reset, on all servers of a shard.

The figures: calls take some 30 ms, a caller has 2 to 3 s, and a reset comes 6
to 10 ms after the attempt to connect.
"""

from typing import Any

import attrs
import pytest
from core_builders_routes import (
    CUT,
    NO_CONNECTION,
    SHED,
    TIMEOUT_MS,
    UNREACHED,
    World,
    gather,
    pace,
    route,
)

from fennelfork import Failure, FailureCode, Verdict
from fennelfork.routes import (
    CallRecord,
    ConcurrencyLimits,
    Ending,
    Failed,
    Selection,
    Send,
    note_end,
    weigh_reset,
)
from fennelfork.servers import ConnectionLedger

_RESET_MS = 8
_CALL_MS = 30


class TestLeg:
    """A part for which no server has a connection at present."""

    def setup_method(self) -> None:
        """Begin with a request to three shards."""
        self.world = World()
        self.request = self.world.dispatch(route(target=gather(3, least=1)))
        self.sends = self.request.start(0)

    def test_goes_round_the_servers(self) -> None:
        """It is tried at each, and then again while there is time."""
        send = self.sends[0]
        asked = [send.server.run]
        for _ in range(8):
            send = self._reset(send)[0]
            asked.append(send.server.run)
        assert len(set(asked[:3])) == 3
        assert len(set(asked)) == 3

    def test_is_answered(self) -> None:
        """The request is whole once a connection is to be had."""
        send = self.sends[0]
        for _ in range(6):
            send = self._reset(send)[0]
        for other in (send, *self.sends[1:]):
            self.request.answered(other.attempt, 'part', self.world.time.at_ms)
        assert self.request.ending(self.world.time.at_ms) is Ending.SETTLED
        assert self.request.suffices

    def test_ends_in_time(self) -> None:
        """It is given up when the time of the request is over."""
        self.world.time.advance(TIMEOUT_MS)
        assert not self._reset(self.sends[0])
        ending = self.request.ending(self.world.time.at_ms)
        assert ending is Ending.TIMEOUT

    def test_nobody_there_is_final(self) -> None:
        """Servers where nobody listens are not asked again."""
        send = self.sends[0]
        for _ in range(2):
            send = self._fail(send, UNREACHED)[0]
        assert not self._fail(send, UNREACHED)

    def test_costs_no_repeat(self) -> None:
        """What never reached a server is no repeat, however often."""
        world = World(ratio=0)
        request = world.dispatch(route(target=gather(1)))
        send = request.start(0)[0]
        for _ in range(7):
            send = request.failed(send.attempt, NO_CONNECTION, 1)[0]
        assert not send.repeat

    @pytest.mark.parametrize('resets', [1, 4])
    def test_reset_after_the_request_was_sent(self, resets: int) -> None:
        """From afar the reset comes after the request: no attempt either."""
        world = World(ratio=0)
        request = world.dispatch(route(target=gather(1)))
        send = request.start(0)[0]
        for _ in range(resets):
            send = request.failed(send.attempt, CUT, 1)[0]
        assert not send.repeat
        request.answered(send.attempt, 'part', 2)
        assert request.suffices

    def test_reset_again_and_again(self) -> None:
        """It may have run each time, so there is an end to it."""
        request = self.world.dispatch(route(target=gather(1)))
        sends = request.start(0)
        count = 0
        while sends:
            count += 1
            sends = request.failed(sends[0].attempt, CUT, count)
        assert count == 6
        leg = next(iter(request.legs.values()))
        assert leg.verdict is Verdict.MAY_HAVE_RUN

    def test_reset_of_what_may_run_once(self) -> None:
        """A request that is not idempotent is not sent again."""
        request = self.world.dispatch(route(idempotent=False))
        send = request.start(0)[0]
        assert not request.failed(send.attempt, CUT, 1)

    def _reset(self, send: Send) -> list[Send]:
        return self._fail(send, NO_CONNECTION)

    def _fail(self, send: Send, failure: Any) -> list[Send]:
        self.world.time.advance(_RESET_MS)
        return self.request.failed(
            send.attempt,
            failure,
            self.world.time.at_ms,
        )


class TestServer:
    """A server that resets a connection since it holds as many as it may."""

    def setup_method(self) -> None:
        """Begin with one call that found no connection."""
        self.world = World()
        request = self.world.dispatch(route())
        self.send = request.start(0)[0]
        self.world.mark_sent([self.send])
        self.state = self.world.states.of(self.send.server.run)
        record = CallRecord(
            send=self.send,
            now_ms=_RESET_MS,
            pace=pace(300),
            nearby=True,
        )
        self.world.time.advance(_RESET_MS)
        note_end(Failed(failure=NO_CONNECTION), record, self.state)

    def test_is_not_ejected(self) -> None:
        """It works: its open connections are used on."""
        assert not self.state.standing.ejected(_RESET_MS)
        assert self.state.outstanding == 0

    def test_is_passed_over_for_a_moment(self) -> None:
        """Others are asked first, then it is again."""
        assert self._choice() != self.send.server.run
        self.world.time.advance(300)
        assert self._choice() == self.send.server.run

    def _choice(self) -> str:
        wanted = Selection(service='archive', tried=(), pace=pace(300))
        chosen = self.world.parts.selector.choose(wanted)
        assert chosen is not None
        return chosen.run


class TestConnections:
    """What the connections to such a server do."""

    def test_no_further_one_for_a_moment(self) -> None:
        """Open ones carry calls on, a further one is opened later."""
        ledger = ConnectionLedger(limit=3)
        first = ledger.use(0, fresh=False)
        second = ledger.use(0, fresh=False)
        ledger.done(second.connection, _RESET_MS, usable=False)
        ledger.turned_away(_RESET_MS)
        assert ledger.use(_CALL_MS, fresh=False) is None
        ledger.done(first.connection, _CALL_MS, usable=True)
        assert not ledger.use(_CALL_MS, fresh=False).opened
        assert ledger.use(_RESET_MS + 250, fresh=False).opened


class TestReset:
    """What the reset of a connection says that had carried nothing back."""

    @pytest.mark.parametrize(
        ('settled', 'code'),
        [(False, FailureCode.QUEUE_FULL), (True, FailureCode.UNREACHABLE)],
    )
    def test_only_soon_after_a_start(
        self,
        settled: bool,  # a parameter of the test
        code: FailureCode,
    ) -> None:
        """Later a server that resets requests is paid for and blamed.

        The pattern: one server of three resets four of ten requests, each on
        a new connection, as the one before was reset. Sent on unpaid, that
        would be 0.13 repeats a request beside the 0.2 that are allowed.
        """
        assert weigh_reset(CUT, settled=settled).code is code

    def test_is_no_end(self) -> None:
        """A server at its limit has not ended, so no request is suspected."""
        reset = attrs.evolve(CUT, broken_off=True)
        assert not weigh_reset(reset, settled=False).broken_off
        assert weigh_reset(reset, settled=True).broken_off

    @pytest.mark.parametrize('failure', [NO_CONNECTION, UNREACHED, SHED])
    def test_others_stay(self, failure: Failure) -> None:
        """What surely did not run is no arrival at any time."""
        assert weigh_reset(failure, settled=True) == failure

    def test_is_settled_after_some_seconds(self) -> None:
        """The fleet was seen for as long as others need to start."""
        world = World()
        shares = world.parts.selector.shares
        assert not shares.settled
        world.fleet.note(9)
        assert not shares.settled
        world.time.advance(3000)
        assert shares.settled


class TestLimit:
    """Waiting for a connection shows as overload, if it makes late."""

    def test_late_for_want_of_a_connection(self) -> None:
        """The limit of requests under way falls as if they had failed."""
        world = World()
        world.time.advance(5000)
        limits = ConcurrencyLimits(clock=world.clock)
        wanted = route(target=gather(1))
        for _ in range(50):
            limits.enter(wanted)
        request = world.dispatch(wanted)
        send = request.start(world.time.at_ms)[0]
        again = request.failed(send.attempt, NO_CONNECTION, 5000)[0]
        request.answered(again.attempt, 'part', 5400)
        assert limits.note_end(request, 400)
        assert not limits.enter(wanted)
