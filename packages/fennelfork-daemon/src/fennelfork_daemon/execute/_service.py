"""Service that answers or forwards non-idempotent requests."""

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
from fennelfork_daemon.execute._codec import reply_from_peer, request_to_peer
from fennelfork_daemon.execute._received_request import ReceivedRequest
from fennelfork_daemon.execute._runner import ExecuteRunner
from fennelfork_daemon.peer._client import PeerClient

_MAX_FORWARDS: Final = 2
_DEADLINE_PASSED: Final = not_run(
    FailureCode.DEADLINE,
    'the deadline passed before the request was sent',
)


@attrs.define(kw_only=True)
class ExecuteService:
    """Answers the non-idempotent requests that reach one daemon."""

    _gate: OnceGate
    _runner: ExecuteRunner
    _blackboard: Blackboard
    _peers: PeerClient
    _clock: Clock

    def answer(self, received: ReceivedRequest) -> Result[str, Failure]:
        """Answer a request of a caller.

        Returns:
            The outcome, or a failure; see `docs/operators/at-most-once.md`
            for the permitted actions of a caller after each verdict.
        """
        routed = self._gate.route(received.request)
        if isinstance(routed, Failed):
            return Failed(routed.failure())
        route = routed.unwrap()
        if isinstance(route, ForwardToPeer):
            return self._forward(route, received)
        return self.answer_locally(received)

    def answer_locally(self, received: ReceivedRequest) -> Result[str, Failure]:
        """Answer a request with a ticket of this daemon incarnation."""
        request = received.request
        admitted = self._gate.admit(request)
        if isinstance(admitted, Failed):
            return Failed(admitted.failure())
        admission = admitted.unwrap()
        if isinstance(admission, ReplayAnswer):
            return admission.answer
        if isinstance(admission, StartExecution):
            self._runner.start(request, received.deadline_at_ms)
        ended = self._runner.wait(
            request.request_id, self._remaining_ms(received)
        )
        if isinstance(admission, StartExecution) and not ended:
            self._gate.table.abandon_unsent(
                request.request_id, _DEADLINE_PASSED
            )
        return _result_of_state(self._gate.table.state(request.request_id))

    def _forward(
        self,
        route: ForwardToPeer,
        received: ReceivedRequest,
    ) -> Result[str, Failure]:
        """Forward a request to the daemon of its ticket.

        A retry is safe, since that daemon detects duplicate requests.
        """
        member = self._blackboard.members.get(route.daemon)
        if member is None:
            return Failed(
                unknown_outcome(
                    'the daemon of the ticket is not a known member'
                )
            )
        for _ in range(_MAX_FORWARDS):
            remaining_ms = self._remaining_ms(received)
            reply = self._peers.call(
                member.peer,
                'execute',
                request_to_peer(
                    received.request, received.traffic_class, remaining_ms
                ),
                remaining_ms,
            )
            if isinstance(reply, Success):
                return reply_from_peer(reply.unwrap())
        detail = f'the daemon of the ticket: {reply.failure().detail}'
        return Failed(unknown_outcome(detail))

    def _remaining_ms(self, received: ReceivedRequest) -> float:
        return received.deadline_at_ms - self._clock.now_ms()


def _result_of_state(state: OnceState | None) -> Result[str, Failure]:
    if isinstance(state, Done):
        return Success(state.outcome)
    if isinstance(state, Ended):
        return Failed(state.failure)
    return Failed(
        may_have_run(
            FailureCode.DEADLINE,
            'the request is still in progress; retry with the same request id',
        ),
    )
