"""Membership controllers on a simulated network in virtual time."""

import random

import attrs
import pytest
from core_builders_fleet import build_member
from core_builders_network import Network, Node, a_network

from fennelfork.membership import (
    MemberStatus,
    announce_exit,
    announce_leave,
    announce_local_member,
    leave_is_announced,
)

_ALIVE = MemberStatus.ALIVE
_DEAD = MemberStatus.DEAD
_MINUTE_MS = 60_000


def _running(network: Network) -> list[Node]:
    return [node for node in network.nodes.values() if node.is_up]


def _all_have_state(network: Network, name: str, *states: MemberStatus) -> bool:
    return all(
        node.get_state(name) in states
        for node in _running(network)
        if node.name != name
    )


def _all_alive(network: Network) -> bool:
    return all(
        _all_have_state(network, node.name, _ALIVE)
        for node in _running(network)
    )


class TestIdle:
    """A fleet without faults."""

    @pytest.mark.parametrize('size', [1, 2, 9, 60])
    def test_no_member_is_suspected(self, size: int) -> None:
        """All members stay alive in their initial incarnation."""
        network = a_network(size)
        network.run(_MINUTE_MS)
        assert _all_alive(network)
        assert {node.me.incarnation for node in _running(network)} == {1024}

    @pytest.mark.parametrize('size', [9, 60])
    def test_probe_rate_is_constant(self, size: int) -> None:
        """Each daemon sends one probe per period in a fleet of any size."""
        network = a_network(size)
        network.run(10_000)
        network.sent = 0
        network.run(_MINUTE_MS)
        assert 55 <= network.sent / size <= 65

    @pytest.mark.parametrize('size', [9, 60])
    def test_gossip_about_a_start_ends(self, size: int) -> None:
        """Probes carry no gossip half a minute after the start."""
        network = a_network(size)
        network.run(30_000)
        network.gossiped = 0
        network.run(10_000)
        assert network.gossiped == 0


class TestJoin:
    """Start of daemons."""

    def test_one_seed_suffices(self) -> None:
        """A new daemon with one seed learns all members, and all learn it."""
        network = a_network(60)
        network.run(5000)
        seed = network.nodes['vm-0'].me
        network.start(build_member('new', incarnation=1024), [seed])
        network.run_until(lambda: _all_alive(network), 20_000)
        newcomer = network.nodes['new']
        assert len(newcomer.table) == 61

    def test_whole_fleet_starts_from_seeds(self) -> None:
        """Daemons that start together discover each other through the seeds."""
        network = Network(rng=random.Random(3))
        members = [build_member(f'vm-{number}') for number in range(30)]
        for member in members:
            network.start(member, members[:5])
        network.run_until(
            lambda: all(len(node.table) == 30 for node in _running(network)),
            20_000,
        )
        assert _all_alive(network)


class TestConfigured:
    """First configuration of a daemon."""

    def test_readiness_reaches_all_members(self) -> None:
        """The first configuration of a daemon is gossiped to all members."""
        network = a_network(30)
        network.run(30_000)
        node = network.nodes['vm-1']
        blank = attrs.evolve(
            node.me,
            config_version=0,
            incarnation=node.me.incarnation + 1,
        )
        announce_local_member(node.fleet, blank)
        network.run(30_000)
        announce_local_member(node.fleet, attrs.evolve(blank, config_version=5))
        network.run_until(
            lambda: all(
                other.table.get('vm-1').is_ready for other in _running(network)
            ),
            10_000,
        )


class TestCrash:
    """Crash of daemons."""

    @pytest.mark.parametrize('unresponsive', [True, False])
    @pytest.mark.parametrize('size', [3, 9, 60])
    def test_is_detected_by_all(self, size: int, *, unresponsive: bool) -> None:
        """All members suspect a crashed daemon and then declare it dead."""
        network = a_network(size)
        network.run(5000)
        crashed = network.nodes['vm-1']
        crashed.is_up = False
        crashed.is_unresponsive = unresponsive
        network.run_until(
            lambda: _all_have_state(
                network,
                'vm-1',
                MemberStatus.SUSPECT,
                _DEAD,
            ),
            10_000,
        )
        network.run_until(
            lambda: _all_have_state(network, 'vm-1', _DEAD),
            _MINUTE_MS,
        )

    def test_dead_member_is_removed(self) -> None:
        """Dead members are removed, which bounds the size of tables."""
        network = a_network(5)
        network.nodes['vm-1'].is_up = False
        network.run(1_000_000)
        assert {len(node.table) for node in _running(network)} == {4}

    def test_restart_of_a_fifth_of_the_fleet(self) -> None:
        """Daemons that restart together rejoin with new incarnations."""
        network = a_network(60)
        network.run(5000)
        restarted = [f'vm-{number}' for number in range(0, 60, 5)]
        for name in restarted:
            network.nodes[name].is_up = False
        network.run(3000)
        seeds = [network.nodes['vm-1'].me, network.nodes['vm-2'].me]
        for name in restarted:
            me = network.nodes[name].me
            later = build_member(
                name,
                me.data_centre,
                region=me.region,
                incarnation=1024 * 9,
            )
            network.start(later, seeds)
        network.run_until(lambda: _all_alive(network), _MINUTE_MS)
        for node in _running(network):
            incarnations = {member.process_incarnation for member in node.table}
            assert incarnations == {1, 9}


class TestReusedAddress:
    """An address that another daemon now uses."""

    def test_ack_from_another_daemon_is_a_failure(self) -> None:
        """An acknowledgement by another daemon keeps no member alive."""
        network = a_network(9)
        network.run(5000)
        network.nodes['vm-1'].is_up = False
        network.nodes['vm-1'] = network.nodes['vm-2']
        network.run(_MINUTE_MS)
        assert _all_have_state(network, 'vm-1', _DEAD)


class TestPause:
    """A daemon that is suspended and resumed."""

    @pytest.mark.parametrize('pause_ms', [3000, 10_000, 30_000])
    def test_resumed_daemon_suspects_no_member(self, pause_ms: int) -> None:
        """A resumed daemon rejoins and causes no false suspicion."""
        network = a_network(9)
        network.run(5000)
        paused = network.nodes['vm-1']
        paused.is_paused = True
        network.run(pause_ms)
        network.resume(paused)
        network.run_until(lambda: _all_alive(network), _MINUTE_MS)
        assert paused.me.incarnation > 1024
        others = [node for node in _running(network) if node is not paused]
        assert {node.me.incarnation for node in others} == {1024}

    def test_short_pause_is_not_a_death(self) -> None:
        """A pause below the suspicion timeout never leads to state dead."""
        network = a_network(9)
        network.run(5000)
        paused = network.nodes['vm-1']
        paused.is_paused = True
        observed_states = set()
        for _ in range(30):
            network.run(100)
            observed_states |= {
                node.get_state('vm-1') for node in _running(network)
            }
        network.resume(paused)
        network.run(5000)
        observed_states |= {
            node.get_state('vm-1') for node in _running(network)
        }
        assert _DEAD not in observed_states
        assert _all_alive(network)

    def test_old_incarnation_is_superseded(self) -> None:
        """A daemon that was replaced during a pause becomes superseded."""
        network = a_network(9)
        network.run(5000)
        old = network.nodes['vm-1']
        old.is_paused = True
        network.run(20_000)
        successor = attrs.evolve(
            build_member('vm-1', 'dc-2', region='region-1', incarnation=9216),
            peer='elsewhere:3',
        )
        new = network.start(successor, [network.nodes['vm-0'].me])
        network.run(5000)
        network.resume(old)
        network.run(10_000)
        assert old.fleet.view.local_member.is_superseded
        assert not new.fleet.view.local_member.is_superseded
        assert {
            node.table.get('vm-1').incarnation for node in _running(network)
        } == {9216}


class TestPartitions:
    """Links that drop all messages."""

    def test_one_way_cut_of_a_link_suspects_no_member(self) -> None:
        """A member that relays can reach is not suspected."""
        network = a_network(9)
        network.run(5000)
        network.is_cut = lambda start, end: (start, end) == ('vm-1', 'vm-2')
        network.run(2 * _MINUTE_MS)
        assert _all_alive(network)
        assert network.nodes['vm-2'].me.incarnation == 1024

    def test_unreachable_daemon_does_not_flap(self) -> None:
        """A daemon with outbound connections alone stays dead until healed."""
        network = a_network(9)
        network.run(5000)
        network.is_cut = lambda _start, end: end == 'vm-1'
        network.run_until(
            lambda: _all_have_state(network, 'vm-1', _DEAD),
            _MINUTE_MS,
        )
        network.run(_MINUTE_MS)
        assert _all_have_state(network, 'vm-1', _DEAD)
        network.is_cut = lambda _start, _end: False
        network.run_until(lambda: _all_alive(network), _MINUTE_MS)

    def test_isolated_daemon_changes_no_other_state(self) -> None:
        """A daemon that reconnects causes no suspicion of others."""
        network = a_network(9)
        network.run(5000)
        network.is_cut = lambda start, end: 'vm-1' in {start, end}
        network.run(_MINUTE_MS)
        assert _all_have_state(network, 'vm-1', _DEAD)
        network.is_cut = lambda _start, _end: False
        observed_states = set()
        for _ in range(300):
            network.run(100)
            observed_states |= {
                node.get_state(f'vm-{number}')
                for node in _running(network)
                for number in (0, 2, 3, 4, 5, 6, 7, 8)
                if node.name != 'vm-1'
            }
        assert observed_states == {_ALIVE}
        assert _all_alive(network)

    @pytest.mark.parametrize('cut_ms', [4000, 12_000, 300_000, 1_200_000])
    def test_regions_separate_and_rejoin(self, cut_ms: int) -> None:
        """All members see each other again after a partition between regions.

        Members of one region never suspect each other because of claims from
        the other region.
        """
        network = a_network(30)
        network.run(5000)
        regions = {name: node.me.region for name, node in network.nodes.items()}
        network.is_cut = lambda start, end: regions[start] != regions[end]
        network.run(cut_ms)
        network.is_cut = lambda _start, _end: False
        observed_states = set()
        for _ in range(1200):
            network.run(100)
            observed_states |= {
                node.get_state(other.name)
                for node in _running(network)
                for other in _running(network)
                if regions[node.name] == regions[other.name]
            }
        assert observed_states == {_ALIVE}
        assert _all_alive(network)


class TestLeave:
    """Planned stop of a daemon."""

    def test_leave_reaches_all_members(self) -> None:
        """All members know of a leave once its announcement is complete."""
        network = a_network(60)
        network.run(5000)
        leaving_daemon = network.nodes['vm-1']
        announce_leave(leaving_daemon.fleet)
        assert not leave_is_announced(leaving_daemon.fleet)
        network.run_until(
            lambda: leave_is_announced(leaving_daemon.fleet), 5000
        )
        assert _all_have_state(network, 'vm-1', MemberStatus.LEAVING)

    def test_leave_reaches_suspects(self) -> None:
        """A suspect member, which may list the daemon, receives the leave."""
        network = a_network(2)
        network.run(5000)
        leaving_daemon = network.nodes['vm-1']
        leaving_daemon.fleet.view.suspect_member('vm-0', 1024, network.now_ms)
        announce_leave(leaving_daemon.fleet)
        network.run_until(
            lambda: leave_is_announced(leaving_daemon.fleet), 5000
        )
        assert network.nodes['vm-0'].get_state('vm-1') is MemberStatus.LEAVING

    def test_exit_is_announced_without_suspicion(self) -> None:
        """All members declare a daemon dead after it announces its exit."""
        network = a_network(9)
        network.run(5000)
        leaving_daemon = network.nodes['vm-1']
        announce_leave(leaving_daemon.fleet)
        network.run(5000)
        network.send(
            leaving_daemon, announce_exit(leaving_daemon.fleet, network.now_ms)
        )
        network.run(10)
        leaving_daemon.is_up = False
        network.run_until(lambda: _all_have_state(network, 'vm-1', _DEAD), 5000)

    def test_crashed_leaving_daemon_is_declared_dead(self) -> None:
        """State leaving does not prevent the suspicion timeout."""
        network = a_network(9)
        network.run(5000)
        leaving_daemon = network.nodes['vm-1']
        announce_leave(leaving_daemon.fleet)
        network.run(2000)
        leaving_daemon.is_up = False
        network.run_until(
            lambda: _all_have_state(network, 'vm-1', _DEAD),
            _MINUTE_MS,
        )


class TestUnreachableHint:
    """Failed requests that other components report."""

    def test_hint_is_verified(self) -> None:
        """A hint about a responsive daemon has no effect."""
        network = a_network(9)
        network.run(5000)
        network.nodes['vm-0'].fleet.on_unreachable('vm-1')
        network.run(5000)
        assert _all_alive(network)

    def test_hint_speeds_up_detection(self) -> None:
        """A hint about a crashed daemon makes it suspect at once."""
        network = a_network(9)
        network.run(5000)
        network.nodes['vm-1'].is_up = False
        node = network.nodes['vm-0']
        node.fleet.on_unreachable('vm-1')
        network.run(250)
        assert node.get_state('vm-1') is MemberStatus.SUSPECT
