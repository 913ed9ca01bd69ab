"""Carries out what the membership controller decides, over thrift."""

import random
from typing import Any, Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard, Clock
from fennelfork.membership import (
    Membership,
    MembershipPolicy,
    SendProbe,
    announce,
    announce_exit,
    announce_leave,
    leave_is_announced,
    membership,
)
from fennelfork_daemon.membership._metrics import MembershipMetrics
from fennelfork_daemon.membership._probe_client import ProbeClient, ProbeFailure
from fennelfork_daemon.membership._probe_codec import (
    answer_from_peer,
    answer_to_peer,
    probe_from_peer,
    probe_to_peer,
)

_STEP_S: Final = 0.1


@attrs.define(kw_only=True)
class MembershipService:
    """Keeps the members on the blackboard up to date.

    Attributes:
        fleet: the controller.
    """

    fleet: Membership
    _board: Blackboard
    _clock: Clock
    _client: ProbeClient
    _metrics: MembershipMetrics
    _epoch: int = -1

    @property
    def leave_is_told(self) -> bool:
        """Whether every member was told of the leave, or did not answer."""
        return leave_is_announced(self.fleet)

    def run(self) -> None:
        """Step the controller as long as the daemon runs."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.step()
            eventlet.sleep(_STEP_S)

    def step(self) -> None:
        """Let the controller move on to now."""
        with self._metrics.processor():
            self._announce_config()
            while self._board.doubted:
                self.fleet.on_unreachable(self._board.doubted.pop())
            sends = self.fleet.step(self._clock.now_ms())
            self._follow(sends)

    def probe(self, message: Any) -> Any:
        """Answer the probe of another daemon; its thrift messages."""
        with self._metrics.processor():
            probe = probe_from_peer(message)
            heard = self.fleet.on_probe(probe, self._clock.now_ms())
            self._follow(heard.probes)
        answer = heard.ack
        if probe.relay_to is not None:
            reached = self._relay(probe.relay_to)
            answer = attrs.evolve(answer, reached=reached)
        with self._metrics.processor():
            reply = answer_to_peer(answer)
            self._metrics.count_inbound(message, reply)
        return reply

    def leave(self) -> None:
        """Announce that this daemon will stop."""
        announce_leave(self.fleet)
        self.step()

    def say_goodbye(self) -> None:
        """Tell a few members that this daemon is gone, and wait for it."""
        sends = announce_exit(self.fleet, self._clock.now_ms())
        pool = eventlet.GreenPool()
        for order in sends:
            pool.spawn_n(self._carry_out, order)
        pool.waitall()

    def _announce_config(self) -> None:
        board = self._board
        me = self.fleet.view.local
        now = attrs.evolve(
            me,
            config_version=board.config_version,
            config_hash=board.config_hash,
        )
        announce(self.fleet, now)

    def _relay(self, name: str) -> bool:
        order = self.fleet.relay(name, self._clock.now_ms())
        return order is not None and self._carry_out(order)

    def _carry_out(self, order: SendProbe) -> bool:
        """Make a call and report it; tell whether it was answered."""
        with self._metrics.processor():
            request = probe_to_peer(order.message)
        reply = self._client.call(order.target.peer, request, order.timeout_ms)
        with self._metrics.processor():
            self._metrics.count_outbound(request, reply)
            now_ms = self._clock.now_ms()
            if is_successful(reply):
                answer = answer_from_peer(reply.unwrap())
                self._follow(self.fleet.on_ack(order.probe_id, answer, now_ms))
                # Another daemon may have the address by now.
                return answer.sender.name == order.target.name
            refused = reply.failure() is ProbeFailure.REFUSED
            sends = self.fleet.on_failure(
                order.probe_id, now_ms, refused=refused
            )
            self._follow(sends)
        return False

    def _follow(self, sends: tuple[SendProbe, ...]) -> None:
        """Make the calls that were ordered and publish what changed."""
        for order in sends:
            eventlet.spawn_n(self._carry_out, order)
        for change in self.fleet.view.take_changes():
            self._metrics.count_change(change)
        self._publish()

    def _publish(self) -> None:
        view = self.fleet.view
        self._board.local = view.local
        self._board.superseded = view.local_member.is_superseded
        reconfigured = view.table.take_reconfigured()
        if view.table.epoch == self._epoch:
            # The same members: the homes worked out by them stay right.
            self._board.members.update(
                (member.name, member) for member in reconfigured
            )
        else:
            self._epoch = view.table.epoch
            self._board.members = {member.name: member for member in view.table}
            self._metrics.show_members(view.table)
        self._metrics.show_health(
            view.local_member.refutations,
            self.fleet.health.score,
        )


def membership_service(
    board: Blackboard,
    clock: Clock,
    metrics: MembershipMetrics,
) -> MembershipService:
    """Build the membership of the daemon that `board` describes."""
    return MembershipService(
        fleet=membership(board.local, MembershipPolicy(), random.Random()),
        board=board,
        clock=clock,
        client=ProbeClient(),
        metrics=metrics,
    )
