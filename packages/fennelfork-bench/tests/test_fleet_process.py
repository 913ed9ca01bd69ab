"""Membership and stops of real daemons under signals."""

import os
import signal
import time

import pytest
from bench_builders_fleet import (
    CAP_S,
    a_fleet_spec,
    a_running_fleet,
    await_busy,
    await_leaving,
    await_states,
    callers,
    failures_of,
    members,
    states,
    stop_and_restart,
)

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig, wait_until

_PAUSE_S = 10
_RUN_BITS = 10

pytestmark = pytest.mark.process


class TestLostDaemon:
    """A daemon that ends or stops running without a word."""

    def test_killed_is_noticed_and_its_restart_too(self) -> None:
        """The others drop it within seconds and take the new run in."""
        with rig() as own:
            fleet = a_running_fleet(own, a_fleet_spec())
            before = members(fleet.operators[0])['vm-2']['incarnation']
            fleet.daemons['vm-2'].kill()
            wait_until(
                lambda: states(fleet, 'vm-2') == {'dead'},
                CAP_S,
                'vm-2 to be dead',
            )
            fleet.start_daemons([fleet.daemon_spec('vm-2')])
            await_states(fleet, 'alive')
            after = members(fleet.operators[0])['vm-2']['incarnation']
            assert after >> _RUN_BITS > before >> _RUN_BITS

    def test_paused_wakes_and_accuses_nobody(self) -> None:
        """Paused for 10 s it comes back, and no other lost its standing."""
        with rig() as own:
            fleet = a_running_fleet(own, a_fleet_spec())
            before = members(fleet.operators[0])
            fleet.daemons['vm-2'].pause()
            time.sleep(_PAUSE_S)
            assert not states(fleet, 'vm-2') & {'alive'}
            fleet.daemons['vm-2'].resume()
            await_states(fleet, 'alive')
            after = members(fleet.operators[0])
            for name in ('vm-1', 'vm-3'):
                assert after[name]['incarnation'] == before[name]['incarnation']
            renewed = after['vm-2']['incarnation']
            assert renewed > before['vm-2']['incarnation']

    def test_queries_go_on_without_it(self) -> None:
        """Once it is noticed, callers elsewhere get whole answers again."""
        with rig() as own:
            fleet = a_running_fleet(own, a_fleet_spec())
            fleet.daemons['vm-2'].kill()
            wait_until(
                lambda: not states(fleet, 'vm-2') & {'alive'},
                CAP_S,
                'vm-2 to be noticed',
            )
            with callers(fleet, 3) as running:
                wait_until(
                    lambda: all(each.answered > 20 for each in running),
                    CAP_S,
                    'answers',
                )
            assert not failures_of(running)


class TestGracefulStop:
    """SIGTERM to a daemon that callers use."""

    def test_rolling_stops_under_load_cut_nothing(self) -> None:
        """Each daemon in turn ends with 0; no query of a caller is lost.

        Six callers need six slots of servers that have five: a true refusal
        that says so and is answered on repeat is none, but it must be rare.
        """
        with rig() as own:
            fleet = a_running_fleet(own, a_fleet_spec())
            with callers(fleet, 6) as running:
                for name in list(fleet.daemons):
                    assert stop_and_restart(fleet, name) == 0
            assert not failures_of(running)
            assert all(each.answered > 50 for each in running)
            answered = sum(each.answered for each in running)
            assert sum(each.refusals for each in running) * 100 <= answered

    def test_leaver_vanishes_from_entries_at_once(self) -> None:
        """While it lingers, no daemon names it and it still answers."""
        with rig() as own:
            fleet = a_running_fleet(own, a_fleet_spec())
            leaver = fleet.daemons['vm-2']
            reply = http.post(leaver.ready['operator'], '/v1/drain', {})
            assert reply.body['phase'] == 'announcing'
            wait_until(
                lambda: states(fleet, 'vm-2') == {'leaving'},
                CAP_S,
                'the others to be told',
            )
            for address in fleet.callers:
                body = http.get(address, '/v1/entries').body
                named = {entry['daemon'] for entry in body['entries']}
                assert named == {'vm-1', 'vm-3'}
            leaver.terminate()
            assert leaver.wait(CAP_S) == 0

    def test_request_in_progress_is_finished(self) -> None:
        """A slow query that runs when all is closed gets its answer."""
        with rig() as own:
            spec = a_fleet_spec(daemons=1, mean_ms=2500)
            fleet = a_running_fleet(own, spec)
            process = fleet.daemons['vm-1']
            with callers(fleet, 1) as running:
                await_busy(fleet)
                process.terminate()
                running[0].stopping = True
                assert not process.wait(CAP_S)
            assert not running[0].failures
            assert running[0].answered

    def test_second_signal_ends_at_once_and_says_what_was_cut(self) -> None:
        """The exit status is 1 and the log names the number cut."""
        with rig() as own:
            spec = a_fleet_spec(daemons=1, mean_ms=4000)
            fleet = a_running_fleet(own, spec)
            process = fleet.daemons['vm-1']
            with callers(fleet, 1) as running:
                await_busy(fleet)
                process.terminate()
                await_leaving(fleet, 'vm-1')
                process.terminate()
                running[0].stopping = True
                assert process.wait(CAP_S) == 1
            assert '"cut": 1' in process.stderr.read_text()

    @pytest.mark.parametrize('delay_s', [0, 0.2, 0.5, 0.8, 1.2])
    def test_at_any_moment_of_its_start(self, delay_s: float) -> None:
        """A signal during the start ends it, cleanly once Python runs it."""
        with rig() as own:
            fleet = a_running_fleet(own, a_fleet_spec())
            process = fleet.daemons['vm-1']
            process.kill()
            spec = fleet.daemon_spec('vm-1')
            path = next(own.directory.glob('vm-1.toml'))
            again = own.start_module(
                spec.name,
                'fennelfork_daemon',
                ('--config', str(path)),
            )
            time.sleep(delay_s)
            os.kill(again.pid, signal.SIGTERM)
            assert again.wait(CAP_S) in {0, -signal.SIGTERM}
