"""Which daemon runs which configuration, asked of each."""

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

_CALLS_AT_ONCE: Final = 64
_NO_DOCUMENT: Final = 9_007_199_254_740_991


@attrs.frozen(kw_only=True)
class DaemonConfig:
    """What one daemon says of its configuration.

    Attributes:
        name: of the daemon.
        data_centre: where it runs.
        state: what is believed of it.
        config_version: the version in force in it; none if out of reach.
        config_hash: digest of that document.
        age_ms: since it took that version.
        confirmed_age_ms: since the platform last showed it that document;
            none if never, as in a daemon that hears of it by its peers.
        anomaly: an offer that it refused and that should not be.
        failure: why it cannot be reached; none if it was.
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
class ConfigSurvey:
    """Asks all members at once, a bounded number at a time."""

    _board: Blackboard
    _peers: PeerClient
    _timeout_ms: float

    def ask_all(self) -> tuple[DaemonConfig, ...]:
        """Ask each member, this daemon included, by its peer face.

        Returns:
            One entry a member, by name; those out of reach too.
        """
        members = sorted(self._asked(), key=lambda member: member.name)
        pool = eventlet.GreenPool(_CALLS_AT_ONCE)
        return tuple(pool.imap(self._ask, members))

    def newest_version(self) -> int:
        """Give the highest version that any reachable daemon holds."""
        versions = [daemon.config_version or 0 for daemon in self.ask_all()]
        return max(versions, default=0)

    def _asked(self) -> Iterable[Member]:
        return [
            member
            for member in self._board.members.values()
            if member.state is not MemberStatus.DEAD
        ]

    def _ask(self, member: Member) -> DaemonConfig:
        request = peer.ConfigRequest(have_version=_NO_DOCUMENT)
        reply = self._peers.call(
            member.peer,
            'fetch_config',
            request,
            self._timeout_ms,
        )
        known = DaemonConfig(
            name=member.name,
            data_centre=member.data_centre,
            state=member.state.value,
        )
        if is_successful(reply):
            return _with_answer(known, reply.unwrap())
        return attrs.evolve(known, failure=reply.failure().detail)


def config_survey(
    board: Blackboard,
    peers: PeerClient,
    settings: Settings,
) -> ConfigSurvey:
    """Build the survey of a daemon."""
    return ConfigSurvey(
        board=board,
        peers=peers,
        timeout_ms=settings.timeouts.peer_ms,
    )


def _with_answer(known: DaemonConfig, reply: Any) -> DaemonConfig:
    return attrs.evolve(
        known,
        config_version=reply.version,
        config_hash=reply.config_hash,
        age_ms=reply.age_ms,
        confirmed_age_ms=reply.confirmed_age_ms,
        anomaly=reply.anomaly,
    )
