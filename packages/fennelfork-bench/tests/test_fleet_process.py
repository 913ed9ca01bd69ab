"""Membership and shutdown of real daemons that receive signals."""

import os
import signal
import time

import pytest
from bench_builders_fleet import (
    TIMEOUT_S,
    await_busy_server,
    await_leaving_state,
    await_state,
    build_fleet_spec,
    fetch_members,
    fetch_states,
    list_failures,
    run_callers,
    start_configured_fleet,
    stop_and_restart,
)

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig, wait_until

_PAUSE_DURATION_S = 10
_REFUTATION_BITS = 10

pytestmark = pytest.mark.process


class TestLostDaemon:
    """Daemons that crash or are paused."""

    def test_crash_and_restart_are_detected(self) -> None:
        """A crashed daemon becomes dead, and its next incarnation alive."""
        with rig() as processes:
            fleet = start_configured_fleet(processes, build_fleet_spec())
            before = fetch_members(fleet.operators[0])['vm-2']['incarnation']
            fleet.daemons['vm-2'].kill()
            wait_until(
                lambda: fetch_states(fleet, 'vm-2') == {'dead'},
                TIMEOUT_S,
                'vm-2 to be dead',
            )
            fleet.start_daemons([fleet.daemon_spec('vm-2')])
            await_state(fleet, 'alive')
            after = fetch_members(fleet.operators[0])['vm-2']['incarnation']
            assert after >> _REFUTATION_BITS > before >> _REFUTATION_BITS

    def test_paused_daemon_returns_without_suspecting_others(self) -> None:
        """A resumed daemon becomes alive and suspects no other daemon."""
        with rig() as processes:
            fleet = start_configured_fleet(processes, build_fleet_spec())
            before = fetch_members(fleet.operators[0])
            fleet.daemons['vm-2'].pause()
            time.sleep(_PAUSE_DURATION_S)
            assert not fetch_states(fleet, 'vm-2') & {'alive'}
            fleet.daemons['vm-2'].resume()
            await_state(fleet, 'alive')
            after = fetch_members(fleet.operators[0])
            for name in ('vm-1', 'vm-3'):
                assert after[name]['incarnation'] == before[name]['incarnation']
            refuted = after['vm-2']['incarnation']
            assert refuted > before['vm-2']['incarnation']

    def test_queries_succeed_without_a_dead_daemon(self) -> None:
        """Callers get complete answers after a crash has been detected."""
        with rig() as processes:
            fleet = start_configured_fleet(processes, build_fleet_spec())
            fleet.daemons['vm-2'].kill()
            wait_until(
                lambda: not fetch_states(fleet, 'vm-2') & {'alive'},
                TIMEOUT_S,
                'the crash of vm-2 to be detected',
            )
            with run_callers(fleet, 3) as running:
                wait_until(
                    lambda: all(each.answered > 20 for each in running),
                    TIMEOUT_S,
                    'answers',
                )
            assert not list_failures(running)


class TestGracefulStop:
    """Graceful shutdown of daemons that serve callers."""

    def test_rolling_restart_under_load_loses_no_query(self) -> None:
        """Each daemon in turn exits with status 0 and no query fails.

        Six callers exceed the five slots of a backend server, so that a query
        may be shed and retried; at most one percent of the queries may be.
        """
        with rig() as processes:
            fleet = start_configured_fleet(processes, build_fleet_spec())
            with run_callers(fleet, 6) as running:
                for name in list(fleet.daemons):
                    assert stop_and_restart(fleet, name) == 0
            assert not list_failures(running)
            assert all(each.answered > 50 for each in running)
            answered = sum(each.answered for each in running)
            assert sum(each.refusals for each in running) * 100 <= answered

    def test_draining_daemon_is_removed_from_entries(self) -> None:
        """A draining daemon answers callers but is in no entry answer."""
        with rig() as processes:
            fleet = start_configured_fleet(processes, build_fleet_spec())
            draining = fleet.daemons['vm-2']
            reply = http.post(draining.ready['operator'], '/v1/drain', {})
            assert reply.body['phase'] == 'announcing'
            wait_until(
                lambda: fetch_states(fleet, 'vm-2') == {'leaving'},
                TIMEOUT_S,
                'the others to report vm-2 as leaving',
            )
            for address in fleet.callers:
                body = http.get(address, '/v1/entries').body
                named = {entry['daemon'] for entry in body['entries']}
                assert named == {'vm-1', 'vm-3'}
            draining.terminate()
            assert draining.wait(TIMEOUT_S) == 0

    def test_request_in_flight_completes(self) -> None:
        """A slow query in flight during the shutdown is answered."""
        with rig() as processes:
            spec = build_fleet_spec(daemons=1, mean_ms=2500)
            fleet = start_configured_fleet(processes, spec)
            process = fleet.daemons['vm-1']
            with run_callers(fleet, 1) as running:
                await_busy_server(fleet)
                process.terminate()
                running[0].is_stopping = True
                assert not process.wait(TIMEOUT_S)
            assert not running[0].failures
            assert running[0].answered

    def test_second_signal_exits_and_logs_interrupted_requests(self) -> None:
        """The exit status is 1 and the log has the number of requests cut."""
        with rig() as processes:
            spec = build_fleet_spec(daemons=1, mean_ms=4000)
            fleet = start_configured_fleet(processes, spec)
            process = fleet.daemons['vm-1']
            with run_callers(fleet, 1) as running:
                await_busy_server(fleet)
                process.terminate()
                await_leaving_state(fleet, 'vm-1')
                process.terminate()
                running[0].is_stopping = True
                assert process.wait(TIMEOUT_S) == 1
            assert '"cut": 1' in process.stderr.read_text()

    @pytest.mark.parametrize('delay_s', [0, 0.2, 0.5, 0.8, 1.2])
    def test_signal_during_start(self, delay_s: float) -> None:
        """SIGTERM during the start ends the daemon at any time."""
        with rig() as processes:
            fleet = start_configured_fleet(processes, build_fleet_spec())
            process = fleet.daemons['vm-1']
            process.kill()
            spec = fleet.daemon_spec('vm-1')
            path = next(processes.directory.glob('vm-1.toml'))
            restarted = processes.start_module(
                spec.name,
                'fennelfork_daemon',
                ('--config', str(path)),
            )
            time.sleep(delay_s)
            os.kill(restarted.pid, signal.SIGTERM)
            assert restarted.wait(TIMEOUT_S) in {0, -signal.SIGTERM}
