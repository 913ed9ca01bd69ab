"""Answers non-idempotent requests, here or through the right incarnation."""

from typing import Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import (
    Blackboard,
    Clock,
    Failure,
    FailureCode,
    may_have_run,
    not_run,
)
from fennelfork.once import (
    Done,
    Ended,
    ForwardToPeer,
    OnceGate,
    OnceState,
    ReplayAnswer,
    StartExecution,
    unknown_outcome,
)
from fennelfork_daemon.execute._codec import order_to_peer, reply_from_peer
from fennelfork_daemon.execute._order import ExecuteOrder
from fennelfork_daemon.execute._runner import ExecuteRunner
from fennelfork_daemon.peer._client import PeerClient

_MOST_PASSES: Final = 2
_TOO_LATE: Final = not_run(
    FailureCode.DEADLINE,
    'the deadline passed before anything was sent',
)


@attrs.define(kw_only=True)
class ExecuteService:
    """The non-idempotent requests of one daemon."""

    _gate: OnceGate
    _runner: ExecuteRunner
    _board: Blackboard
    _peers: PeerClient
    _clock: Clock

    def answer(self, order: ExecuteOrder) -> Result[str, Failure]:
        """Answer a caller.

        Returns:
            The outcome, or a failure; see `docs/operators/at-most-once.md`
            for what a caller may do after each verdict.
        """
        routed = self._gate.route(order.request)
        if isinstance(routed, Failed):
            return Failed(routed.failure())
        place = routed.unwrap()
        if isinstance(place, ForwardToPeer):
            return self._pass_on(place, order)
        return self.answer_here(order)

    def answer_here(self, order: ExecuteOrder) -> Result[str, Failure]:
        """Answer a request as the incarnation that its ticket should name."""
        request = order.request
        admitted = self._gate.admit(request)
        if isinstance(admitted, Failed):
            return Failed(admitted.failure())
        admission = admitted.unwrap()
        if isinstance(admission, ReplayAnswer):
            return admission.answer
        if isinstance(admission, StartExecution):
            self._runner.start(request, order.deadline_at_ms)
        ended = self._runner.wait(request.request_id, self._left_ms(order))
        if isinstance(admission, StartExecution) and not ended:
            self._gate.table.abandon_unsent(request.request_id, _TOO_LATE)
        return _told(self._gate.table.state(request.request_id))

    def _pass_on(
        self,
        place: ForwardToPeer,
        order: ExecuteOrder,
    ) -> Result[str, Failure]:
        """Ask the daemon of the ticket, whose memory makes repeats safe."""
        member = self._board.members.get(place.daemon)
        if member is None:
            return Failed(
                unknown_outcome('the daemon of the ticket is not known')
            )
        for _ in range(_MOST_PASSES):
            left_ms = self._left_ms(order)
            reply = self._peers.call(
                member.peer,
                'execute',
                order_to_peer(order.request, order.traffic_class, left_ms),
                left_ms,
            )
            if isinstance(reply, Success):
                return reply_from_peer(reply.unwrap())
        detail = f'the daemon of the ticket: {reply.failure().detail}'
        return Failed(unknown_outcome(detail))

    def _left_ms(self, order: ExecuteOrder) -> float:
        return order.deadline_at_ms - self._clock.now_ms()


def _told(state: OnceState | None) -> Result[str, Failure]:
    if isinstance(state, Done):
        return Success(state.outcome)
    if isinstance(state, Ended):
        return Failed(state.failure)
    return Failed(
        may_have_run(
            FailureCode.DEADLINE,
            'still in progress; ask again under the same request id',
        ),
    )
