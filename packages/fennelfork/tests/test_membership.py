"""Membership controllers that talk to each other, in virtual time."""

import random

import attrs
import pytest
from core_builders_fleet import a_member
from core_builders_network import Network, Node, a_network

from fennelfork.membership import (
    MemberStatus,
    announce,
    announce_exit,
    announce_leave,
    leave_is_announced,
)

_ALIVE = MemberStatus.ALIVE
_DEAD = MemberStatus.DEAD
_MINUTE_MS = 60_000


def _up(network: Network) -> list[Node]:
    return [node for node in network.nodes.values() if node.is_up]


def _all_believe(network: Network, name: str, *states: MemberStatus) -> bool:
    return all(
        node.get_state(name) in states
        for node in _up(network)
        if node.name != name
    )


def _settled(network: Network) -> bool:
    return all(
        _all_believe(network, node.name, _ALIVE) for node in _up(network)
    )


class TestAtRest:
    """A fleet to which nothing happens."""

    @pytest.mark.parametrize('size', [1, 2, 9, 60])
    def test_nobody_is_suspected(self, size: int) -> None:
        """After ten minutes all are alive, at their first incarnation."""
        network = a_network(size)
        network.run(_MINUTE_MS)
        assert _settled(network)
        assert {node.me.incarnation for node in _up(network)} == {1024}

    @pytest.mark.parametrize('size', [9, 60])
    def test_work_is_constant(self, size: int) -> None:
        """Each daemon makes one probe a period, whatever the size."""
        network = a_network(size)
        network.run(10_000)
        network.sent = 0
        network.run(_MINUTE_MS)
        assert 55 <= network.sent / size <= 65

    @pytest.mark.parametrize('size', [9, 60])
    def test_news_of_a_start_dies_out(self, size: int) -> None:
        """Half a minute after all started, probes carry no news."""
        network = a_network(size)
        network.run(30_000)
        network.gossiped = 0
        network.run(10_000)
        assert network.gossiped == 0


class TestJoin:
    """A daemon that starts."""

    def test_from_one_seed_all_learn_all(self) -> None:
        """With one listed VM a newcomer knows all, and all know it."""
        network = a_network(60)
        network.run(5000)
        seed = network.nodes['vm-0'].me
        network.start(a_member('new', incarnation=1024), [seed])
        network.run_until(lambda: _settled(network), 20_000)
        newcomer = network.nodes['new']
        assert len(newcomer.table) == 61

    def test_from_nothing_but_the_list(self) -> None:
        """A whole fleet that starts at once finds itself."""
        network = Network(rng=random.Random(3))
        members = [a_member(f'vm-{number}') for number in range(30)]
        for member in members:
            network.start(member, members[:5])
        network.run_until(
            lambda: all(len(node.table) == 30 for node in _up(network)),
            20_000,
        )
        assert _settled(network)


class TestConfigured:
    """A daemon that started without a configuration gets one."""

    def test_all_hear_of_it(self) -> None:
        """That it is ready now is news to all, unlike later versions."""
        network = a_network(30)
        network.run(30_000)
        node = network.nodes['vm-1']
        blank = attrs.evolve(
            node.me,
            config_version=0,
            incarnation=node.me.incarnation + 1,
        )
        announce(node.fleet, blank)
        network.run(30_000)
        announce(node.fleet, attrs.evolve(blank, config_version=5))
        network.run_until(
            lambda: all(
                other.table.get('vm-1').is_ready for other in _up(network)
            ),
            10_000,
        )


class TestKill:
    """A daemon that ends without a word."""

    @pytest.mark.parametrize('unresponsive', [True, False])
    @pytest.mark.parametrize('size', [3, 9, 60])
    def test_is_noticed_by_all(self, size: int, *, unresponsive: bool) -> None:
        """All suspect it within seconds and hold it for dead after that."""
        network = a_network(size)
        network.run(5000)
        killed = network.nodes['vm-1']
        killed.is_up = False
        killed.is_unresponsive = unresponsive
        network.run_until(
            lambda: _all_believe(
                network,
                'vm-1',
                MemberStatus.SUSPECT,
                _DEAD,
            ),
            10_000,
        )
        network.run_until(
            lambda: _all_believe(network, 'vm-1', _DEAD),
            _MINUTE_MS,
        )

    def test_is_forgotten_after_a_while(self) -> None:
        """The dead leave the tables, so that they do not grow for ever."""
        network = a_network(5)
        network.nodes['vm-1'].is_up = False
        network.run(1_000_000)
        assert {len(node.table) for node in _up(network)} == {4}

    def test_of_a_fifth_and_restart(self) -> None:
        """20% restarted at once under new incarnations all come back."""
        network = a_network(60)
        network.run(5000)
        restarted = [f'vm-{number}' for number in range(0, 60, 5)]
        for name in restarted:
            network.nodes[name].is_up = False
        network.run(3000)
        seeds = [network.nodes['vm-1'].me, network.nodes['vm-2'].me]
        for again in restarted:
            me = network.nodes[again].me
            later = a_member(
                again,
                me.data_centre,
                region=me.region,
                incarnation=1024 * 9,
            )
            network.start(later, seeds)
        network.run_until(lambda: _settled(network), _MINUTE_MS)
        for witness in _up(network):
            incarnations = {
                member.process_incarnation for member in witness.table
            }
            assert incarnations == {1, 9}


class TestReusedAddress:
    """An address that another daemon now has."""

    def test_answer_under_another_name_is_no_answer(self) -> None:
        """A lost daemon whose address is taken over does not stay alive."""
        network = a_network(9)
        network.run(5000)
        network.nodes['vm-1'].is_up = False
        network.nodes['vm-1'] = network.nodes['vm-2']
        network.run(_MINUTE_MS)
        assert _all_believe(network, 'vm-1', _DEAD)


class TestPause:
    """A daemon that stops running for a while and wakes."""

    @pytest.mark.parametrize('pause_ms', [3000, 10_000, 30_000])
    def test_wakes_and_accuses_nobody(self, pause_ms: int) -> None:
        """It comes back under a later incarnation, and nobody else fell."""
        network = a_network(9)
        network.run(5000)
        paused = network.nodes['vm-1']
        paused.is_paused = True
        network.run(pause_ms)
        network.wake(paused)
        network.run_until(lambda: _settled(network), _MINUTE_MS)
        assert paused.me.incarnation > 1024
        others = [node for node in _up(network) if node is not paused]
        assert {node.me.incarnation for node in others} == {1024}

    def test_short_pause_is_no_death(self) -> None:
        """A pause below the suspicion time never shows it as dead."""
        network = a_network(9)
        network.run(5000)
        paused = network.nodes['vm-1']
        paused.is_paused = True
        seen = set()
        for _ in range(30):
            network.run(100)
            seen |= {node.get_state('vm-1') for node in _up(network)}
        network.wake(paused)
        network.run(5000)
        seen |= {node.get_state('vm-1') for node in _up(network)}
        assert _DEAD not in seen
        assert _settled(network)

    def test_old_run_does_not_displace_the_new_one(self) -> None:
        """A daemon replaced while paused finds itself superseded."""
        network = a_network(9)
        network.run(5000)
        old = network.nodes['vm-1']
        old.is_paused = True
        network.run(20_000)
        successor = attrs.evolve(
            a_member('vm-1', 'dc-2', region='region-1', incarnation=9216),
            peer='elsewhere:3',
        )
        new = network.start(successor, [network.nodes['vm-0'].me])
        network.run(5000)
        network.wake(old)
        network.run(10_000)
        assert old.fleet.view.local_member.is_superseded
        assert not new.fleet.view.local_member.is_superseded
        assert {
            node.table.get('vm-1').incarnation for node in _up(network)
        } == {9216}


class TestCuts:
    """Links that carry nothing."""

    def test_one_way_between_two_suspects_nobody(self) -> None:
        """What one cannot call but relays can is not suspected."""
        network = a_network(9)
        network.run(5000)
        network.is_cut = lambda start, end: (start, end) == ('vm-1', 'vm-2')
        network.run(2 * _MINUTE_MS)
        assert _settled(network)
        assert network.nodes['vm-2'].me.incarnation == 1024

    def test_unreachable_from_outside_falls_once(self) -> None:
        """One that calls but cannot be called does not flap."""
        network = a_network(9)
        network.run(5000)
        network.is_cut = lambda _start, end: end == 'vm-1'
        network.run_until(
            lambda: _all_believe(network, 'vm-1', _DEAD),
            _MINUTE_MS,
        )
        network.run(_MINUTE_MS)
        assert _all_believe(network, 'vm-1', _DEAD)
        network.is_cut = lambda _start, _end: False
        network.run_until(lambda: _settled(network), _MINUTE_MS)

    def test_cut_off_daemon_moves_nobody_else(self) -> None:
        """One that hears nothing for a minute spoils no other's standing."""
        network = a_network(9)
        network.run(5000)
        network.is_cut = lambda start, end: 'vm-1' in {start, end}
        network.run(_MINUTE_MS)
        assert _all_believe(network, 'vm-1', _DEAD)
        network.is_cut = lambda _start, _end: False
        seen = set()
        for _ in range(300):
            network.run(100)
            seen |= {
                node.get_state(f'vm-{number}')
                for node in _up(network)
                for number in (0, 2, 3, 4, 5, 6, 7, 8)
                if node.name != 'vm-1'
            }
        assert seen == {_ALIVE}
        assert _settled(network)

    @pytest.mark.parametrize('cut_ms', [4000, 12_000, 300_000, 1_200_000])
    def test_regions_part_and_meet(self, cut_ms: int) -> None:
        """Each region goes on alone; healed, all see all again.

        No member of a region loses its standing there at any time, whatever
        the other region claims.
        """
        network = a_network(30)
        network.run(5000)
        regions = {name: node.me.region for name, node in network.nodes.items()}
        network.is_cut = lambda start, end: regions[start] != regions[end]
        network.run(cut_ms)
        network.is_cut = lambda _start, _end: False
        seen = set()
        for _ in range(1200):
            network.run(100)
            seen |= {
                node.get_state(other.name)
                for node in _up(network)
                for other in _up(network)
                if regions[node.name] == regions[other.name]
            }
        assert seen == {_ALIVE}
        assert _settled(network)


class TestLeave:
    """A planned stop."""

    def test_all_are_told_in_person(self) -> None:
        """Once the leave is told, every member knows of it."""
        network = a_network(60)
        network.run(5000)
        leaver = network.nodes['vm-1']
        announce_leave(leaver.fleet)
        assert not leave_is_announced(leaver.fleet)
        network.run_until(lambda: leave_is_announced(leaver.fleet), 5000)
        assert _all_believe(network, 'vm-1', MemberStatus.LEAVING)

    def test_suspects_are_told_too(self) -> None:
        """One that is only slow may name the leaver in entry answers."""
        network = a_network(2)
        network.run(5000)
        leaver = network.nodes['vm-1']
        leaver.fleet.view.suspect_member('vm-0', 1024, network.now_ms)
        announce_leave(leaver.fleet)
        network.run_until(lambda: leave_is_announced(leaver.fleet), 5000)
        assert network.nodes['vm-0'].get_state('vm-1') is MemberStatus.LEAVING

    def test_end_is_told_without_suspicion(self) -> None:
        """A daemon that says that it is gone is dead to all at once."""
        network = a_network(9)
        network.run(5000)
        leaver = network.nodes['vm-1']
        announce_leave(leaver.fleet)
        network.run(5000)
        network.send(leaver, announce_exit(leaver.fleet, network.now_ms))
        network.run(10)
        leaver.is_up = False
        network.run_until(lambda: _all_believe(network, 'vm-1', _DEAD), 5000)

    def test_leaver_that_is_killed_is_dead_in_the_end(self) -> None:
        """A leave does not shield from the timeout."""
        network = a_network(9)
        network.run(5000)
        leaver = network.nodes['vm-1']
        announce_leave(leaver.fleet)
        network.run(2000)
        leaver.is_up = False
        network.run_until(
            lambda: _all_believe(network, 'vm-1', _DEAD),
            _MINUTE_MS,
        )


class TestHint:
    """What the data path noticed."""

    def test_is_verified_before_it_is_believed(self) -> None:
        """A hint about a daemon that answers changes nothing."""
        network = a_network(9)
        network.run(5000)
        network.nodes['vm-0'].fleet.on_unreachable('vm-1')
        network.run(5000)
        assert _settled(network)

    def test_brings_the_discovery_forward(self) -> None:
        """A hint about a dead daemon makes it suspect at once."""
        network = a_network(9)
        network.run(5000)
        network.nodes['vm-1'].is_up = False
        node = network.nodes['vm-0']
        node.fleet.on_unreachable('vm-1')
        network.run(250)
        assert node.get_state('vm-1') is MemberStatus.SUSPECT
