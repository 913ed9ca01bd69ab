"""Exchange of the configuration with other daemons."""

from typing import Any, Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard, Clock
from fennelfork.config import ConfigSource
from fennelfork.membership import Member
from fennelfork.placement import ConfigFollower
from fennelfork_daemon.config._activator import ConfigActivator
from fennelfork_daemon.config._codec import pack_document, unpack_document
from fennelfork_daemon.metrics._metrics import Channel, ControlCost, CountCost
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.peer._idl import peer

_CHECK_INTERVAL_S: Final = 0.1
_MAX_CONCURRENT_CALLS: Final = 16
_FETCH: Final = 'fetch_config'


@attrs.define(kw_only=True)
class ConfigExchange:
    """Polls and notifies peers, and answers the polls of peers."""

    _blackboard: Blackboard
    _activator: ConfigActivator
    _follower: ConfigFollower
    _peers: PeerClient
    _clock: Clock
    _timeout_ms: float
    _count_cost: CountCost
    _pool: eventlet.GreenPool = attrs.field(
        factory=lambda: eventlet.GreenPool(_MAX_CONCURRENT_CALLS),
    )
    _fetching_version: int = 0
    _packed_hash: str = ''
    _packed_document: bytes = b''

    def poll_forever(self) -> None:
        """Poll a peer whenever a poll is due."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            local = self._local_member()
            members = tuple(self._blackboard.members.values())
            if self._follower.is_poll_due(local, members):
                self._poll_peer(self._follower.choose_peer(local, members))
            eventlet.sleep(_CHECK_INTERVAL_S)

    def notify_peers(self) -> None:
        """Notify a few peers that this daemon has a new version."""
        members = self._blackboard.members.values()
        for member in self._follower.choose_peers_to_notify(
            self._local_member(), members
        ):
            self._spawn_exchange(member.peer, self._blackboard.local.peer)

    def handle_fetch(self, request: Any) -> Any:
        """Handle the peer RPC method `fetch_config`."""
        state = self._activator.state
        if request.sender and request.have_version > state.version:
            self._start_fetch(request.sender, request.have_version)
        is_newer = state.version > request.have_version
        anomalies = state.anomalies.values()
        return peer.ConfigReply(
            version=state.version,
            document=self._pack_active() if is_newer else None,
            config_hash=state.digest,
            age_ms=self._age_ms(
                state.active.activated_ms if state.active else None
            ),
            confirmed_age_ms=self._age_ms(state.confirmed_ms),
            anomaly=next(
                (anomaly.outcome.value for anomaly in anomalies), None
            ),
        )

    def _local_member(self) -> Member:
        """Return the local member with the active version.

        The member on the blackboard may have an older version, because
        membership announces a new version later.
        """
        version = self._activator.state.version
        return attrs.evolve(self._blackboard.local, config_version=version)

    def _start_fetch(self, address: str, version: int) -> None:
        if version > self._fetching_version:
            self._fetching_version = version
            self._spawn_exchange(address, None)

    def _spawn_exchange(self, address: str, sender: str | None) -> None:
        # Peers that are not notified find the new version by their own polls.
        if self._pool.free():
            self._pool.spawn_n(self._exchange, address, sender)

    def _poll_peer(self, chosen: Member | None) -> None:
        answered = chosen is not None and self._exchange(chosen.peer, None)
        self._follower.record_poll(answered=answered)

    def _exchange(self, address: str, sender: str | None) -> bool:
        request = peer.ConfigRequest(
            have_version=self._activator.state.version,
            sender=sender,
        )
        reply = self._peers.call(address, _FETCH, request, self._timeout_ms)
        self._fetching_version = 0
        if not is_successful(reply):
            return False
        self._apply_reply(reply.unwrap())
        return True

    def _apply_reply(self, reply: Any) -> None:
        if reply.document is None:
            self._activator.compare_with_peer(
                reply.version, reply.config_hash or ''
            )
            return
        self._count_cost(
            ControlCost(channel=Channel.PEER, received=len(reply.document)),
        )
        unpacked = unpack_document(reply.document)
        if is_successful(unpacked):
            self._activator.offer(unpacked.unwrap(), ConfigSource.PEER)

    def _pack_active(self) -> bytes:
        active = self._activator.state.active
        if active is not None and self._packed_hash != active.digest:
            self._packed_hash = active.digest
            self._packed_document = pack_document(active.raw)
        packed = self._packed_document
        self._count_cost(ControlCost(channel=Channel.PEER, sent=len(packed)))
        return packed

    def _age_ms(self, since_ms: float | None) -> int | None:
        if since_ms is None:
            return None
        return int(self._clock.now_ms() - since_ms)
