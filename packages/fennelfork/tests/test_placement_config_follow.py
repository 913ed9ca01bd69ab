"""Tests of the schedule of configuration reads and polls."""

import random
from collections import Counter

import attrs
from core_builders_fleet import (
    DATA_CENTRES,
    build_data_centre_members,
    build_member,
)

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import Member, MemberStatus
from fennelfork.placement import ConfigFollower, config_follower


def _follower(manual: ManualTime, seed: int = 1) -> ConfigFollower:
    return config_follower(manual_clock(manual), random.Random(seed))


def _fleet(size: int) -> dict[str, Member]:
    return {
        member.name: member
        for data_centre in DATA_CENTRES
        for member in build_data_centre_members(data_centre, size)
    }


def _with_version(member: Member, version: int) -> Member:
    return attrs.evolve(member, config_version=version)


def _first_read_after(
    follower: ConfigFollower,
    manual: ManualTime,
    outage_end_ms: float,
) -> float:
    """Return the delay of the first read after an outage until `outage_end_ms`."""
    manual.at_ms = follower.next_read_ms
    while manual.at_ms < outage_end_ms:
        follower.record_read(answered=False)
        manual.at_ms = follower.next_read_ms
    return manual.at_ms - outage_end_ms


class TestPlatform:
    """Reads of the platform."""

    def test_each_data_centre_has_two_readers(self) -> None:
        """The number of readers does not depend on the size of the fleet."""
        for size in (1, 3, 90):
            fleet = _fleet(size)
            follower = _follower(ManualTime())
            readers = Counter(
                member.data_centre
                for member in fleet.values()
                if follower.reads_platform(member, fleet)
            )
            assert readers == dict.fromkeys(DATA_CENTRES, min(size, 2))

    def test_isolated_daemon_reads_the_platform(self) -> None:
        """A daemon without answers of peers reads the platform."""
        manual = ManualTime()
        fleet = _fleet(9)
        follower = _follower(manual)
        non_reader = next(
            member
            for member in fleet.values()
            if not follower.reads_platform(member, fleet)
        )
        manual.advance(follower.policy.isolation_timeout_ms)
        assert follower.reads_platform(non_reader, fleet)
        follower.record_poll(answered=True)
        assert not follower.reads_platform(non_reader, fleet)

    def test_role_is_checked_at_intervals(self) -> None:
        """A daemon that is not a reader checks its role about each second."""
        manual = ManualTime()
        follower = _follower(manual)
        follower.defer_role_check()
        assert not follower.is_read_due()
        manual.advance(1250)
        assert follower.is_read_due()

    def test_failed_reads_back_off_until_an_answer(self) -> None:
        """The delay is capped, and an answer resets the backoff."""
        manual = ManualTime()
        follower = _follower(manual)
        for _ in range(20):
            follower.record_read(answered=False)
        assert 100 <= follower.next_read_ms <= 5000
        follower.record_read(answered=True)
        assert not follower.read_failures
        manual.advance(4000)
        assert follower.is_read_due()


class TestThunderingHerd:
    """Recovery of the platform after a long outage."""

    def test_reads_after_an_outage_are_spread(self) -> None:
        """Guards against synchronised reads of 460 daemons after an outage."""
        manual = ManualTime()
        followers = [_follower(manual, seed) for seed in range(460)]
        first_reads = Counter(
            int(_first_read_after(follower, manual, 60_000) / 500)
            for follower in followers
        )
        assert max(first_reads.values()) < 460 / 4


class TestPeers:
    """Choice of the peers to poll and to notify."""

    def test_newest_peer_is_polled_after_the_catch_up_interval(self) -> None:
        """A peer with a newer version is chosen before the regular poll."""
        fleet = _fleet(5)
        newest = _with_version(fleet['dc-2-3'], 4)
        local = _with_version(fleet['dc-1-0'], 3)
        members = (*fleet.values(), newest)
        manual = ManualTime()
        follower = _follower(manual)
        follower.record_poll(answered=True)
        assert not follower.is_poll_due(local, fleet.values())
        manual.advance(250)
        assert follower.is_poll_due(local, members)
        assert follower.choose_peer(local, members) == newest

    def test_dead_and_suspect_members_are_not_contacted(self) -> None:
        """Only alive and leaving members are polled or notified."""
        local = _with_version(build_member('vm-1'), 2)
        members = [
            build_member('vm-2', state=MemberStatus.DEAD),
            build_member('vm-3', state=MemberStatus.SUSPECT),
            local,
        ]
        follower = _follower(ManualTime())
        assert follower.choose_peer(local, members) is None
        assert not follower.choose_peers_to_notify(local, members)

    def test_new_version_reaches_a_large_fleet(self) -> None:
        """Notifications from three daemons and two polls reach 460 daemons."""
        fleet = [
            _with_version(member, 0)
            for member in build_data_centre_members('dc-1', 460)
        ]
        follower = _follower(ManualTime(), seed=3)
        informed = {member.name for member in fleet[:3]}
        pending = list(fleet[:3])
        while pending:
            notified = follower.choose_peers_to_notify(
                _with_version(pending.pop(), 1), fleet
            )
            newly_informed = [
                peer for peer in notified if peer.name not in informed
            ]
            informed |= {peer.name for peer in newly_informed}
            pending += newly_informed
        assert len(informed) > 460 * 0.9
        rounds = 0
        while len(informed) < 460:
            rounds += 1
            polled = {
                member.name: follower.choose_peer(member, fleet)
                for member in fleet
                if member.name not in informed
            }
            informed |= {
                name
                for name, peer in polled.items()
                if peer and peer.name in informed
            }
        assert rounds <= 2
