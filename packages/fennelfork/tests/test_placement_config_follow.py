"""Whom a daemon asks for the configuration, and when."""

import random
from collections import Counter

import attrs
from core_builders_fleet import DATA_CENTRES, a_data_centre, a_member

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import Member, MemberStatus
from fennelfork.placement import ConfigFollower, config_follower


def _follower(manual: ManualTime, seed: int = 1) -> ConfigFollower:
    return config_follower(manual_clock(manual), random.Random(seed))


def _fleet(size: int) -> dict[str, Member]:
    return {
        member.name: member
        for data_centre in DATA_CENTRES
        for member in a_data_centre(data_centre, size)
    }


def _at(member: Member, version: int) -> Member:
    return attrs.evolve(member, config_version=version)


def _first_read_after(
    follower: ConfigFollower,
    manual: ManualTime,
    back_ms: float,
) -> float:
    """Fail each read until the platform is back; give when it is read then."""
    manual.at_ms = follower.next_read_ms
    while manual.at_ms < back_ms:
        follower.record_read(answered=False)
        manual.at_ms = follower.next_read_ms
    return manual.at_ms - back_ms


class TestPlatform:
    """Who reads the platform, and when."""

    def test_readers_grow_with_data_centres_only(self) -> None:
        """Two daemons of each data centre read, however many there are."""
        for size in (1, 3, 90):
            fleet = _fleet(size)
            follower = _follower(ManualTime())
            readers = Counter(
                member.data_centre
                for member in fleet.values()
                if follower.reads_platform(member, fleet)
            )
            assert readers == dict.fromkeys(DATA_CENTRES, min(size, 2))

    def test_daemon_that_no_peer_answers_reads_itself(self) -> None:
        """Cut off from its peers, any daemon turns to the platform."""
        manual = ManualTime()
        fleet = _fleet(9)
        follower = _follower(manual)
        other = next(
            member
            for member in fleet.values()
            if not follower.reads_platform(member, fleet)
        )
        manual.advance(follower.policy.isolation_timeout_ms)
        assert follower.reads_platform(other, fleet)
        follower.record_poll(answered=True)
        assert not follower.reads_platform(other, fleet)

    def test_others_look_now_and_then_whether_they_read(self) -> None:
        """A daemon that does not read looks at its role about each second."""
        manual = ManualTime()
        follower = _follower(manual)
        follower.defer_role_check()
        assert not follower.is_read_due()
        manual.advance(1250)
        assert follower.is_read_due()

    def test_failures_slow_reads_down_until_an_answer(self) -> None:
        """The wait grows to its cap, and is short again after an answer."""
        manual = ManualTime()
        follower = _follower(manual)
        for _ in range(20):
            follower.record_read(answered=False)
        assert 100 <= follower.next_read_ms <= 5000
        follower.record_read(answered=True)
        assert not follower.read_failures
        manual.advance(4000)
        assert follower.is_read_due()


class TestStampede:
    """The platform comes back after a long outage."""

    def test_even_lonely_daemons_come_back_spread_out(self) -> None:
        """Were all 460 to read, no half second sees a quarter of them."""
        manual = ManualTime()
        followers = [_follower(manual, seed) for seed in range(460)]
        returns = Counter(
            int(_first_read_after(follower, manual, 60_000) / 500)
            for follower in followers
        )
        assert max(returns.values()) < 460 / 4


class TestPeers:
    """Which peer is asked or told."""

    def test_newest_peer_is_asked_without_waiting(self) -> None:
        """A peer known to be ahead is asked at once, and it is that one."""
        fleet = _fleet(5)
        ahead = _at(fleet['dc-2-3'], 4)
        local = _at(fleet['dc-1-0'], 3)
        members = (*fleet.values(), ahead)
        manual = ManualTime()
        follower = _follower(manual)
        follower.record_poll(answered=True)
        assert not follower.is_poll_due(local, fleet.values())
        manual.advance(250)
        assert follower.is_poll_due(local, members)
        assert follower.choose_peer(local, members) == ahead

    def test_dead_and_suspect_members_are_left_alone(self) -> None:
        """Only members that should answer are asked or told."""
        local = _at(a_member('vm-1'), 2)
        members = [
            a_member('vm-2', state=MemberStatus.DEAD),
            a_member('vm-3', state=MemberStatus.SUSPECT),
            local,
        ]
        follower = _follower(ManualTime())
        assert follower.choose_peer(local, members) is None
        assert not follower.choose_peers_to_notify(local, members)

    def test_news_reaches_a_large_fleet(self) -> None:
        """Of 460 three tell, who hears tells on, and asking does the rest."""
        fleet = [_at(member, 0) for member in a_data_centre('dc-1', 460)]
        follower = _follower(ManualTime(), seed=3)
        informed = {member.name for member in fleet[:3]}
        news = list(fleet[:3])
        while news:
            told = follower.choose_peers_to_notify(_at(news.pop(), 1), fleet)
            new = [peer for peer in told if peer.name not in informed]
            informed |= {peer.name for peer in new}
            news += new
        assert len(informed) > 460 * 0.9
        rounds = 0
        while len(informed) < 460:
            rounds += 1
            asked = {
                member.name: follower.choose_peer(member, fleet)
                for member in fleet
                if member.name not in informed
            }
            informed |= {
                name
                for name, peer in asked.items()
                if peer and peer.name in informed
            }
        assert rounds <= 2
