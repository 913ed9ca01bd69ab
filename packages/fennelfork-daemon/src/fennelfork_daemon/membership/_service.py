"""Service that sends the probes of the membership controller."""

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
    announce_exit,
    announce_leave,
    announce_local_member,
    leave_is_announced,
    membership,
)
from fennelfork_daemon.membership._metrics import MembershipMetrics
from fennelfork_daemon.membership._probe_client import ProbeClient, ProbeFailure
from fennelfork_daemon.membership._probe_codec import (
    ack_from_peer,
    ack_to_peer,
    probe_from_peer,
    probe_to_peer,
)

_STEP_INTERVAL_S: Final = 0.1


@attrs.define(kw_only=True)
class MembershipService:
    """Sends probes and publishes the members on the blackboard.

    Attributes:
        controller: membership controller.
    """

    controller: Membership
    _blackboard: Blackboard
    _clock: Clock
    _client: ProbeClient
    _metrics: MembershipMetrics
    _epoch: int = -1

    @property
    def is_leave_announced(self) -> bool:
        """Whether each member received the leave or is unresponsive."""
        return leave_is_announced(self.controller)

    def run(self) -> None:
        """Step the controller periodically until the daemon stops."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.step()
            eventlet.sleep(_STEP_INTERVAL_S)

    def step(self) -> None:
        """Advance the controller to the current time."""
        with self._metrics.measure_processor_time():
            self._announce_config()
            while self._blackboard.unreachable_peers:
                self.controller.on_unreachable(
                    self._blackboard.unreachable_peers.pop()
                )
            sends = self.controller.step(self._clock.now_ms())
            self._send_and_publish(sends)

    def probe(self, message: Any) -> Any:
        """Handle the probe of another daemon.

        Args:
            message: thrift message of the probe.

        Returns:
            Thrift message of the ack.
        """
        with self._metrics.measure_processor_time():
            probe = probe_from_peer(message)
            effects = self.controller.on_probe(probe, self._clock.now_ms())
            self._send_and_publish(effects.probes)
        ack = effects.ack
        if probe.relay_to is not None:
            reached = self._relay(probe.relay_to)
            ack = attrs.evolve(ack, reached=reached)
        with self._metrics.measure_processor_time():
            reply = ack_to_peer(ack)
            self._metrics.count_inbound(message, reply)
        return reply

    def leave(self) -> None:
        """Announce that this daemon is about to stop."""
        announce_leave(self.controller)
        self.step()

    def send_exit(self) -> None:
        """Announce the exit to a few members and wait until the probes end."""
        sends = announce_exit(self.controller, self._clock.now_ms())
        pool = eventlet.GreenPool()
        for send in sends:
            pool.spawn_n(self._send_probe, send)
        pool.waitall()

    def _announce_config(self) -> None:
        blackboard = self._blackboard
        local = self.controller.view.local
        announced = attrs.evolve(
            local,
            config_version=blackboard.config_version,
            config_hash=blackboard.config_hash,
        )
        announce_local_member(self.controller, announced)

    def _relay(self, name: str) -> bool:
        send = self.controller.relay(name, self._clock.now_ms())
        return send is not None and self._send_probe(send)

    def _send_probe(self, send: SendProbe) -> bool:
        """Send a probe and report the result to the controller.

        Returns:
            Whether the target of the probe sent an ack.
        """
        with self._metrics.measure_processor_time():
            request = probe_to_peer(send.message)
        reply = self._client.call(send.target.peer, request, send.timeout_ms)
        with self._metrics.measure_processor_time():
            self._metrics.count_outbound(request, reply)
            now_ms = self._clock.now_ms()
            if is_successful(reply):
                ack = ack_from_peer(reply.unwrap())
                self._send_and_publish(
                    self.controller.on_ack(send.probe_id, ack, now_ms)
                )
                # Another daemon may use the address of the target.
                return ack.sender.name == send.target.name
            refused = reply.failure() is ProbeFailure.REFUSED
            sends = self.controller.on_failure(
                send.probe_id, now_ms, refused=refused
            )
            self._send_and_publish(sends)
        return False

    def _send_and_publish(self, sends: tuple[SendProbe, ...]) -> None:
        """Send probes, count member changes and publish the members."""
        for send in sends:
            eventlet.spawn_n(self._send_probe, send)
        for change in self.controller.view.take_changes():
            self._metrics.count_change(change)
        self._publish_members()

    def _publish_members(self) -> None:
        view = self.controller.view
        self._blackboard.local = view.local
        self._blackboard.is_superseded = view.local_member.is_superseded
        reconfigured = view.table.take_reconfigured()
        if view.table.epoch == self._epoch:
            # The same members remain, so cached home daemons stay valid.
            self._blackboard.members.update(
                (member.name, member) for member in reconfigured
            )
        else:
            self._epoch = view.table.epoch
            self._blackboard.members = {
                member.name: member for member in view.table
            }
            self._metrics.update_members(view.table)
        self._metrics.update_health(
            view.local_member.refutations,
            self.controller.health.score,
        )


def membership_service(
    blackboard: Blackboard,
    clock: Clock,
    metrics: MembershipMetrics,
) -> MembershipService:
    """Build the membership service of this daemon."""
    return MembershipService(
        controller=membership(
            blackboard.local, MembershipPolicy(), random.Random()
        ),
        blackboard=blackboard,
        clock=clock,
        client=ProbeClient(),
        metrics=metrics,
    )
