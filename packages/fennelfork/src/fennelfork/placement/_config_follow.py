"""Schedule of configuration reads from the platform and polls of peers.

Two daemons in each data centre read and watch the platform. Daemons also
exchange the document: a daemon that activates a new version notifies a few
peers, and each daemon polls a random peer at intervals, so that a lost
notification delays the version by a few polls only. The load of the platform
grows with the number of data centres, and the work of a daemon does not depend
on the size of the fleet.
"""

import random
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.config._backoff import Backoff
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.placement._rendezvous import choose_watchers

_MAX_READ_DELAY_MS: Final = 5000
_READ_BACKOFF: Final = Backoff(base_ms=100, cap_ms=_MAX_READ_DELAY_MS)
_JITTER_FRACTION: Final = 0.25
_REACHABLE: Final = frozenset((MemberStatus.ALIVE, MemberStatus.LEAVING))


@attrs.frozen(kw_only=True)
class FollowPolicy:
    """Intervals and limits for configuration reads and polls.

    Attributes:
        read_interval_ms: interval between reads of the platform by a watcher,
            in case the watch misses a change.
        role_check_interval_ms: interval between checks whether this daemon
            reads the platform.
        poll_interval_ms: interval between polls of a random peer.
        catch_up_interval_ms: interval between polls while a peer has a newer
            version.
        isolation_timeout_ms: time without an answer of a peer after which the
            daemon reads the platform.
        max_notified_peers: maximum number of peers to notify of a new version.
        backoff: delay between failed reads of the platform.
    """

    read_interval_ms: float = 3000
    role_check_interval_ms: float = 1000
    poll_interval_ms: float = 2000
    catch_up_interval_ms: float = 200
    isolation_timeout_ms: float = 6000
    max_notified_peers: int = 4
    backoff: Backoff = _READ_BACKOFF


@attrs.define(kw_only=True)
class ConfigFollower:
    """Schedule of configuration reads and polls of one daemon.

    Attributes:
        policy: intervals and limits.
        next_read_ms: monotonic time of the next read of the platform.
        next_poll_ms: monotonic time of the next poll of a peer.
        next_catch_up_ms: monotonic time of the next poll of a peer that has a
            newer version.
        last_answer_ms: monotonic time of the last answer of a peer.
        read_failures: number of consecutive failed reads of the platform.
    """

    policy: FollowPolicy
    next_read_ms: float
    next_poll_ms: float
    next_catch_up_ms: float
    last_answer_ms: float
    read_failures: int = 0
    _clock: Clock
    _jitter: random.Random

    def reads_platform(
        self,
        local: Member,
        members: Mapping[str, Member],
    ) -> bool:
        """Whether this daemon reads and watches the configuration itself.

        Args:
            local: member entry of this daemon.
            members: members of the fleet by name.

        Returns:
            True for the watchers of the data centre, and for a daemon without
            an answer of a peer for `isolation_timeout_ms`.
        """
        watching = choose_watchers(local.data_centre, members.values())
        if local.name in {member.name for member in watching}:
            return True
        return (
            self._clock.now_ms() - self.last_answer_ms
            >= self.policy.isolation_timeout_ms
        )

    def is_read_due(self) -> bool:
        """Whether a read of the configuration from the platform is due."""
        return self._clock.now_ms() >= self.next_read_ms

    def defer_role_check(self) -> None:
        """Schedule the next check whether this daemon reads the platform."""
        wait_ms = self._add_jitter(self.policy.role_check_interval_ms)
        self.next_read_ms = self._clock.now_ms() + wait_ms

    def record_read(self, *, answered: bool) -> None:
        """Record the end of a read of the platform and schedule the next read."""
        self.read_failures = 0 if answered else self.read_failures + 1
        wait_ms = self._add_jitter(self.policy.read_interval_ms)
        if not answered:
            backoff = self.policy.backoff
            wait_ms = backoff.delay_ms(self.read_failures, self._jitter)
        self.next_read_ms = self._clock.now_ms() + wait_ms

    def is_poll_due(self, local: Member, members: Iterable[Member]) -> bool:
        """Whether a poll of a peer is due.

        Args:
            local: member entry of this daemon.
            members: members of the fleet; a member with a newer version is
                polled after the shorter catch-up interval.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self.next_poll_ms:
            return True
        return now_ms >= self.next_catch_up_ms and any(
            member.config_version > local.config_version
            for member in _reachable_peers(local, members)
        )

    def record_poll(self, *, answered: bool) -> None:
        """Record the end of a poll of a peer and schedule the next poll."""
        now_ms = self._clock.now_ms()
        if answered:
            self.last_answer_ms = now_ms
        self.next_poll_ms = now_ms + self._add_jitter(
            self.policy.poll_interval_ms
        )
        self.next_catch_up_ms = now_ms + self._add_jitter(
            self.policy.catch_up_interval_ms
        )

    def choose_peer(
        self,
        local: Member,
        members: Iterable[Member],
    ) -> Member | None:
        """Choose the peer to poll for the configuration.

        Args:
            local: member entry of this daemon.
            members: members of the fleet.

        Returns:
            A random peer among those with the highest version if this version
            is above that of `local`, otherwise a random peer; none if there
            is no reachable peer.
        """
        peers = _reachable_peers(local, members)
        newest = max((peer.config_version for peer in peers), default=0)
        if newest > local.config_version:
            peers = [peer for peer in peers if peer.config_version == newest]
        return self._jitter.choice(peers) if peers else None

    def choose_peers_to_notify(
        self,
        local: Member,
        members: Iterable[Member],
    ) -> tuple[Member, ...]:
        """Choose random peers with an older configuration to notify."""
        peers = [
            peer
            for peer in _reachable_peers(local, members)
            if peer.config_version < local.config_version
        ]
        count = min(len(peers), self.policy.max_notified_peers)
        return tuple(self._jitter.sample(peers, count))

    def _add_jitter(self, wait_ms: float) -> float:
        return wait_ms * self._jitter.uniform(
            1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION
        )


def config_follower(
    clock: Clock,
    jitter: random.Random,
    policy: FollowPolicy | None = None,
) -> ConfigFollower:
    """Build the schedule of configuration reads of a starting daemon.

    Args:
        clock: monotonic clock.
        jitter: random source that spreads the reads and polls of the fleet.
        policy: intervals and limits; the default policy if none.
    """
    now_ms = clock.now_ms()
    return ConfigFollower(
        policy=policy or FollowPolicy(),
        next_read_ms=now_ms,
        next_poll_ms=now_ms,
        next_catch_up_ms=now_ms,
        last_answer_ms=now_ms,
        clock=clock,
        jitter=jitter,
    )


def _reachable_peers(local: Member, members: Iterable[Member]) -> list[Member]:
    return [
        member
        for member in members
        if member.name != local.name and member.state in _REACHABLE
    ]
