"""Takes the configuration from other daemons, and gives it to them."""

from typing import Any, Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard, Clock
from fennelfork.config import ConfigSource
from fennelfork.membership import Member
from fennelfork.placement import ConfigFollower
from fennelfork_daemon.config._activator import ConfigHolder
from fennelfork_daemon.config._codec import pack_document, unpack_document
from fennelfork_daemon.metrics._metrics import Channel, ControlCost, CountCost
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.peer._idl import peer

_TICK_S: Final = 0.1
_CALLS_AT_ONCE: Final = 16
_FETCH: Final = 'fetch_config'


@attrs.define(kw_only=True)
class ConfigExchange:
    """Asks peers, tells peers, answers peers."""

    _board: Blackboard
    _holder: ConfigHolder
    _follower: ConfigFollower
    _peers: PeerClient
    _clock: Clock
    _timeout_ms: float
    _count_cost: CountCost
    _pool: eventlet.GreenPool = attrs.field(
        factory=lambda: eventlet.GreenPool(_CALLS_AT_ONCE),
    )
    _fetching: int = 0
    _packed_hash: str = ''
    _packed_document: bytes = b''

    def ask_forever(self) -> None:
        """Ask a peer whenever it is due."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            local = self._current()
            members = tuple(self._board.members.values())
            if self._follower.is_poll_due(local, members):
                self._ask(self._follower.choose_peer(local, members))
            eventlet.sleep(_TICK_S)

    def tell_peers(self) -> None:
        """Tell a few peers that this daemon has a new version."""
        members = self._board.members.values()
        for told in self._follower.choose_peers_to_notify(
            self._current(), members
        ):
            self._spawn(told.peer, self._board.local.peer)

    def answer(self, request: Any) -> Any:
        """Answer `fetch_config`."""
        state = self._holder.state
        if request.sender and request.have_version > state.version:
            self._fetch(request.sender, request.have_version)
        newer = state.version > request.have_version
        anomalies = state.anomalies.values()
        return peer.ConfigReply(
            version=state.version,
            document=self._packed() if newer else None,
            config_hash=state.digest,
            age_ms=self._age_ms(
                state.active.activated_ms if state.active else None
            ),
            confirmed_age_ms=self._age_ms(state.confirmed_ms),
            anomaly=next((seen.outcome.value for seen in anomalies), None),
        )

    def _current(self) -> Member:
        """This daemon with the version in force, announced already or not."""
        version = self._holder.state.version
        return attrs.evolve(self._board.local, config_version=version)

    def _fetch(self, address: str, version: int) -> None:
        if version > self._fetching:
            self._fetching = version
            self._spawn(address, None)

    def _spawn(self, address: str, sender: str | None) -> None:
        # Who is not reached now is reached by the peers' own questions.
        if self._pool.free():
            self._pool.spawn_n(self._exchange, address, sender)

    def _ask(self, chosen: Member | None) -> None:
        answered = chosen is not None and self._exchange(chosen.peer, None)
        self._follower.record_poll(answered=answered)

    def _exchange(self, address: str, sender: str | None) -> bool:
        request = peer.ConfigRequest(
            have_version=self._holder.state.version,
            sender=sender,
        )
        reply = self._peers.call(address, _FETCH, request, self._timeout_ms)
        self._fetching = 0
        if not is_successful(reply):
            return False
        self._take(reply.unwrap())
        return True

    def _take(self, told: Any) -> None:
        if told.document is None:
            self._holder.hear(told.version, told.config_hash or '')
            return
        self._count_cost(
            ControlCost(channel=Channel.PEER, received=len(told.document)),
        )
        unpacked = unpack_document(told.document)
        if is_successful(unpacked):
            self._holder.offer(unpacked.unwrap(), ConfigSource.PEER)

    def _packed(self) -> bytes:
        held = self._holder.state.active
        if held is not None and self._packed_hash != held.digest:
            self._packed_hash = held.digest
            self._packed_document = pack_document(held.raw)
        packed = self._packed_document
        self._count_cost(ControlCost(channel=Channel.PEER, sent=len(packed)))
        return packed

    def _age_ms(self, since_ms: float | None) -> int | None:
        if since_ms is None:
            return None
        return int(self._clock.now_ms() - since_ms)
