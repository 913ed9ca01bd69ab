"""Whom a daemon asks for the configuration, and when.

Two daemons a data centre read and watch the platform; all take the document
from each other. A daemon that took a new version tells a few peers at once,
and each daemon asks a peer now and then, which reaches whoever missed the
news. So platform calls grow with data centres, and a daemon's own work does
not grow with the fleet.
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
    """How often a daemon asks.

    Attributes:
        read_every_ms: between two reads of the platform by a watcher, in case
            its watch is silent.
        role_every_ms: between two looks whether this daemon reads at all.
        ask_every_ms: between two questions to a peer chosen by chance.
        hurry_every_ms: the same while one is known to run a newer version.
        lonely_ms: without an answer of any peer for this long, a daemon reads
            the platform itself.
        fan_out: how many peers are told of a new version at once.
        backoff: between reads while the platform fails.
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
    """When one daemon asks for the configuration next.

    Attributes:
        read_at_ms: when the platform is due, for one that reads it.
        ask_at_ms: when a peer is due.
        hurry_at_ms: when one known to run a newer version is due.
        heard_ms: when a peer last answered.
        read_failures: failed reads of the platform in a row.
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
        """Tell whether this daemon reads and watches the platform.

        Args:
            local: this daemon.
            members: what is known of the fleet.

        Returns:
            True for the watchers of its data centre, and for a daemon that no
            peer has answered for `isolation_timeout_ms`.
        """
        watching = choose_watchers(local.data_centre, members.values())
        if local.name in {member.name for member in watching}:
            return True
        return (
            self._clock.now_ms() - self.last_answer_ms
            >= self.policy.isolation_timeout_ms
        )

    def is_read_due(self) -> bool:
        """Tell whether the platform is to be read now."""
        return self._clock.now_ms() >= self.next_read_ms

    def defer_role_check(self) -> None:
        """Plan when to look again whether this daemon reads the platform."""
        wait_ms = self._add_jitter(self.policy.role_check_interval_ms)
        self.next_read_ms = self._clock.now_ms() + wait_ms

    def record_read(self, *, answered: bool) -> None:
        """Plan the next read of the platform after one that ended now."""
        self.read_failures = 0 if answered else self.read_failures + 1
        wait_ms = self._add_jitter(self.policy.read_interval_ms)
        if not answered:
            backoff = self.policy.backoff
            wait_ms = backoff.delay_ms(self.read_failures, self._jitter)
        self.next_read_ms = self._clock.now_ms() + wait_ms

    def is_poll_due(self, local: Member, members: Iterable[Member]) -> bool:
        """Tell whether a peer is to be asked now.

        Args:
            local: this daemon.
            members: what is known of the fleet; one that says it runs a newer
                version is asked without waiting for the turn.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self.next_poll_ms:
            return True
        return now_ms >= self.next_catch_up_ms and any(
            member.config_version > local.config_version
            for member in _reachable_peers(local, members)
        )

    def record_poll(self, *, answered: bool) -> None:
        """Plan the next question to a peer after one that ended now."""
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
        """Choose the peer to take the configuration from.

        Args:
            local: this daemon.
            members: what is known of the fleet.

        Returns:
            By chance one of those that say they run the newest version if it
            is above that of `local`, else any; none if there is no peer.
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
        """Choose by chance the peers that are told of a new version."""
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
    """Build the follower of a daemon that starts now.

    Args:
        clock: monotonic time.
        jitter: keeps the daemons of a fleet from asking together.
        policy: how often it asks; the usual one if none is given.
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
