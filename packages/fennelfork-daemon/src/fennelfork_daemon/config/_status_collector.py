"""Configuration status of all daemons."""

from collections.abc import Iterable
from typing import Any, Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard
from fennelfork.membership import Member, MemberStatus
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.peer._idl import peer
from fennelfork_daemon.settings._tables import Settings

_MAX_CONCURRENT_CALLS: Final = 64
# No version is higher, so the replies contain no document.
_MAX_VERSION: Final = 9_007_199_254_740_991


@attrs.frozen(kw_only=True)
class DaemonConfigStatus:
    """Configuration status of one daemon.

    Attributes:
        name: name of the daemon.
        data_centre: data centre of the daemon.
        state: membership state of the daemon.
        config_version: active version; none if the daemon is unreachable.
        config_hash: digest of the active document.
        age_ms: time since the activation of the version.
        confirmed_age_ms: time since the daemon last read the document from
            the platform; none if the daemon has the document from peers.
        anomaly: outcome of an unexpected document that the daemon refused.
        failure: reason why the daemon is unreachable; none if reachable.
    """

    name: str
    data_centre: str
    state: str
    config_version: int | None = None
    config_hash: str | None = None
    age_ms: int | None = None
    confirmed_age_ms: int | None = None
    anomaly: str | None = None
    failure: str | None = None


@attrs.frozen(kw_only=True)
class ConfigStatusCollector:
    """Queries the configuration status of all members concurrently."""

    _blackboard: Blackboard
    _peers: PeerClient
    _timeout_ms: float

    def collect(self) -> tuple[DaemonConfigStatus, ...]:
        """Query each member, this daemon included, over the peer RPC.

        Returns:
            Status of each member, sorted by name; unreachable members are
            included.
        """
        members = sorted(
            self._queried_members(), key=lambda member: member.name
        )
        pool = eventlet.GreenPool(_MAX_CONCURRENT_CALLS)
        return tuple(pool.imap(self._query_member, members))

    def highest_version(self) -> int:
        """Return the highest active version of the reachable daemons."""
        versions = [daemon.config_version or 0 for daemon in self.collect()]
        return max(versions, default=0)

    def _queried_members(self) -> Iterable[Member]:
        return [
            member
            for member in self._blackboard.members.values()
            if member.state is not MemberStatus.DEAD
        ]

    def _query_member(self, member: Member) -> DaemonConfigStatus:
        request = peer.ConfigRequest(have_version=_MAX_VERSION)
        reply = self._peers.call(
            member.peer,
            'fetch_config',
            request,
            self._timeout_ms,
        )
        member_status = DaemonConfigStatus(
            name=member.name,
            data_centre=member.data_centre,
            state=member.state.value,
        )
        if is_successful(reply):
            return _apply_status_reply(member_status, reply.unwrap())
        return attrs.evolve(member_status, failure=reply.failure().detail)


def config_status_collector(
    blackboard: Blackboard,
    peers: PeerClient,
    settings: Settings,
) -> ConfigStatusCollector:
    """Build the collector of the configuration status of all daemons."""
    return ConfigStatusCollector(
        blackboard=blackboard,
        peers=peers,
        timeout_ms=settings.timeouts.peer_ms,
    )


def _apply_status_reply(
    member_status: DaemonConfigStatus, reply: Any
) -> DaemonConfigStatus:
    return attrs.evolve(
        member_status,
        config_version=reply.version,
        config_hash=reply.config_hash,
        age_ms=reply.age_ms,
        confirmed_age_ms=reply.confirmed_age_ms,
        anomaly=reply.anomaly,
    )
