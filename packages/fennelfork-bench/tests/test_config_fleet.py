"""Configuration of real daemons during faults of the platform."""

import functools
import json
from collections.abc import Callable
from concurrent import futures
from typing import Any

import pytest
from bench_builders_platform import encode_base64

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import (
    await_version,
    fetch_version,
    send_patch,
)
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.rig._specs import FleetSpec, daemon_specs

_TIMEOUT_S = 20
_DAEMON_COUNT = 4
_ALL_AT_FIRST = [1, 1, 1, 1]


@pytest.fixture
def fleet(rig: Rig) -> Fleet:
    """Return four daemons without fronts at active version 1."""
    spec = FleetSpec(fronts=(), daemons=daemon_specs(_DAEMON_COUNT))
    started = empty_fleet(rig, spec).start_daemons()
    assert _patch(started, 0).status == 200
    await_version(started, 1)
    _await_condition(
        lambda: _know_each_other(started), 'all daemons to know each other'
    )
    return started


def _know_each_other(fleet: Fleet) -> bool:
    pages = [
        _get_page(fleet, '/v1/config/status', daemon_index)
        for daemon_index in range(_DAEMON_COUNT)
    ]
    return all(len(page['daemons']) == _DAEMON_COUNT for page in pages)


def _patch(
    fleet: Fleet,
    base: int,
    daemon_index: int = 0,
    patch_id: str = '',
    weight: int = 0,
) -> http.HttpResponse:
    patch = {'tenants': {'salvare': {'weight': weight or base + 1}}}
    return send_patch(
        fleet.operators[daemon_index], patch, base, patch_id=patch_id
    )


def _send_race_patch(fleet: Fleet, base: int, racer: int) -> http.HttpResponse:
    weight = 10 * base + racer
    return _patch(fleet, base, racer % _DAEMON_COUNT, weight=weight)


def _get_page(fleet: Fleet, path: str, daemon_index: int = 0) -> dict[str, Any]:
    return http.get(fleet.operators[daemon_index], path).body


def _status(fleet: Fleet) -> dict[str, Any]:
    return _get_page(fleet, '/v1/config/status')


def _await_condition(condition: Callable[[], Any], awaited: str) -> None:
    wait_until(condition, _TIMEOUT_S, awaited)


def _versions(fleet: Fleet) -> list[int]:
    return [fetch_version(operator) for operator in fleet.operators]


def _remove_document(fleet: Fleet) -> None:
    address = fleet.platform.key_value_address
    body = {'key': encode_base64('/fennelfork/config')}
    assert http.post(address, '/v3/kv/deleterange', body).is_success


def _has_anomaly(fleet: Fleet, outcome: str) -> bool:
    found = [daemon['anomaly'] for daemon in _status(fleet)['daemons']]
    return outcome in found


@pytest.mark.process
class TestOutage:
    """Unavailable key-value service."""

    def test_versions_stay_and_patches_are_refused(
        self,
        fleet: Fleet,
    ) -> None:
        """Daemons keep their version, and a refused patch is not applied."""
        fleet.platform.set_faults(down=True)
        reply = _patch(fleet, 1)
        assert reply.status == 503
        assert reply.body['verdict'] == 'not_run'
        assert _versions(fleet) == _ALL_AT_FIRST
        fleet.platform.set_faults(down=False)
        _await_condition(
            lambda: _patch(fleet, 1).is_success, 'the platform to be available'
        )
        await_version(fleet, 2)
        history = _get_page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == [1, 2]

    def test_starting_daemon_reads_the_document_from_peers(
        self,
        fleet: Fleet,
    ) -> None:
        """A start needs no key-value service while a peer is alive."""
        fleet.platform.set_faults(down=True)
        fleet.daemons['vm-4'].kill()
        fleet.start_daemons([fleet.spec.daemons[3]])
        _await_condition(
            lambda: _versions(fleet) == _ALL_AT_FIRST, 'the new daemon'
        )
        restarted = _status(fleet)['daemons'][3]
        assert restarted['confirmed_age_ms'] is None

    def test_recovery_causes_no_request_burst(self, fleet: Fleet) -> None:
        """Few calls are sent in the first second after an outage."""
        fleet.platform.set_faults(down=True)
        started_ms = fleet.platform.log()['now_ms']
        _await_condition(
            lambda: len(_list_calls(fleet, started_ms)) >= 12, 'a few attempts'
        )
        fleet.platform.set_faults(down=False)
        restored_ms = fleet.platform.log()['now_ms']
        _await_condition(
            lambda: fleet.platform.log()['watching'] == 4, 'all watches'
        )
        first_calls = [
            call
            for call in _list_calls(fleet, restored_ms)
            if call['at_ms'] < restored_ms + 1000
        ]
        assert len(first_calls) <= 3 * _DAEMON_COUNT

    def test_rate_limit_refuses_the_patch(
        self,
        fleet: Fleet,
    ) -> None:
        """A rate-limited patch is refused as not run and later succeeds."""
        fleet.platform.set_faults(refuse=True)
        reply = _patch(fleet, 1)
        assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        fleet.platform.set_faults(refuse=False)
        _await_condition(
            lambda: _patch(fleet, 1).is_success, 'the platform to accept calls'
        )


def _list_calls(fleet: Fleet, since_ms: float) -> list[dict[str, Any]]:
    calls: list[dict[str, Any]] = fleet.platform.log(since_ms)['calls']
    return calls


@pytest.mark.process
class TestLostReply:
    """Writes that take effect although the response is lost."""

    @pytest.mark.parametrize('lost', [1, 2])
    def test_patch_is_accepted_once(self, fleet: Fleet, lost: int) -> None:
        """Reading the document detects the patch; one version is created."""
        fleet.platform.set_faults(lose_replies=lost)
        reply = _patch(fleet, 1, patch_id='mine')
        assert reply.status == 200
        assert reply.body['version'] == 2
        again = _patch(fleet, 1, daemon_index=1, patch_id='mine')
        assert (again.status, again.body['version']) == (200, 2)
        history = _get_page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == [1, 2]

    def test_patch_succeeds_after_a_slow_platform_recovers(
        self, rig: Rig
    ) -> None:
        """A patch refused after a read timeout can be sent again."""
        tables = {'timeouts': {'platform_ms': 300}}
        specs = daemon_specs(2, tables=tables)
        spec = FleetSpec(fronts=(), daemons=specs)
        slow = empty_fleet(rig, spec).start_daemons()
        assert _patch(slow, 0).is_success
        slow.platform.set_faults(slow_ms=700)
        reply = _patch(slow, 1, patch_id='late')
        assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        slow.platform.set_faults(slow_ms=0)
        settled = _patch(slow, 1, daemon_index=1, patch_id='late')
        assert (settled.status, settled.body['version']) == (200, 2)
        await_version(slow, 2)


@pytest.mark.process
class TestRace:
    """Concurrent patches of the same version through all daemons."""

    def test_one_patch_wins_per_version(self, fleet: Fleet) -> None:
        """One patch per round wins; the others get the active version."""
        with futures.ThreadPoolExecutor(8) as operators:
            for base in range(1, 6):
                send_race_patch = functools.partial(
                    _send_race_patch, fleet, base
                )
                replies = list(operators.map(send_race_patch, range(8)))
                losers = [reply for reply in replies if reply.status == 409]
                assert len(losers) == 7
                assert sum(reply.is_success for reply in replies) == 1
                assert {reply.body['version'] for reply in losers} == {base + 1}
                assert all(reply.body['changes'] for reply in losers)
        await_version(fleet, 6)
        history = _get_page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == list(range(1, 7))

    def test_paused_writer_creates_no_second_version(
        self,
        fleet: Fleet,
    ) -> None:
        """A daemon paused between read and write does not overwrite a patch."""
        fleet.platform.set_faults(slow_ms=300)
        started_ms = fleet.platform.log()['now_ms']
        with futures.ThreadPoolExecutor(1) as operator:
            paused = operator.submit(_patch, fleet, 1, 0, 'paused', 9)
            _await_condition(
                lambda: _list_calls(fleet, started_ms), 'the writer to read'
            )
            fleet.daemons['vm-1'].pause()
            fleet.platform.set_faults(slow_ms=0)
            other = _patch(fleet, 1, daemon_index=1, patch_id='other', weight=8)
            fleet.daemons['vm-1'].resume()
            late = paused.result()
        settled = _patch(fleet, 1, daemon_index=2, patch_id='paused', weight=9)
        assert {other.status, settled.status} == {200, 409}
        assert (late.status, settled.status) != (200, 409)
        assert (late.body.get('verdict'), settled.status) != ('not_run', 200)
        await_version(fleet, 2)
        history = _get_page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == [1, 2]


@pytest.mark.process
class TestWrongValue:
    """Wrong configuration documents in the key-value service."""

    def test_older_document_is_not_activated(self, fleet: Fleet) -> None:
        """An older document is reported, and patches are refused."""
        older_document = _get_page(fleet, '/v1/config')
        assert _patch(fleet, 1).is_success
        await_version(fleet, 2)
        fleet.platform.write_document(older_document)
        _await_condition(lambda: _has_anomaly(fleet, 'older'), 'the report')
        assert _versions(fleet) == [2, 2, 2, 2]
        reply = _patch(fleet, 2)
        assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        assert 'version 2 was already accepted' in reply.body['detail']

    def test_emptied_platform_accepts_the_restored_document(
        self,
        fleet: Fleet,
    ) -> None:
        """Patches are refused until the document is written again."""
        assert _patch(fleet, 1).is_success
        await_version(fleet, 2)
        active_document = _get_page(fleet, '/v1/config')
        _remove_document(fleet)
        _await_condition(lambda: _has_anomaly(fleet, 'empty'), 'the report')
        assert _versions(fleet) == [2, 2, 2, 2]
        for base in (0, 2):
            reply = _patch(fleet, base)
            assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        fleet.platform.write_document(active_document)
        _await_condition(
            lambda: not _has_anomaly(fleet, 'empty'),
            'the anomaly to be cleared',
        )
        assert _patch(fleet, 2).body['version'] == 3
        await_version(fleet, 3)

    def test_different_document_of_the_version_is_a_conflict(
        self,
        fleet: Fleet,
    ) -> None:
        """A second document of one version is reported and not activated."""
        active_document = _get_page(fleet, '/v1/config')
        fleet.platform.write_document({**active_document, 'tenants': {}})
        _await_condition(lambda: _has_anomaly(fleet, 'conflict'), 'the report')
        assert _get_page(fleet, '/v1/config') == active_document

    def test_invalid_document_is_reported(self, fleet: Fleet) -> None:
        """An invalid document is reported with its problems, not activated."""
        fleet.platform.write_document({'version': 9, 'nonsense': 1})
        _await_condition(lambda: _has_anomaly(fleet, 'invalid'), 'the report')
        assert _versions(fleet) == _ALL_AT_FIRST
        status = json.dumps(_status(fleet)['anomalies'])
        assert 'nonsense' in status

    def test_reads_compensate_for_a_stalled_watch(self, fleet: Fleet) -> None:
        """A new version becomes active although the watch is stalled."""
        fleet.platform.set_faults(stall_watches=True)
        active_document = _get_page(fleet, '/v1/config')
        fleet.platform.write_document({**active_document, 'version': 2})
        await_version(fleet, 2)


@pytest.mark.process
class TestStatus:
    """Configuration status and problems for operators."""

    def test_status_lists_unreachable_daemons(self, fleet: Fleet) -> None:
        """A killed daemon is listed as unreached, the others with ages."""
        fleet.daemons['vm-2'].kill()
        status = _status(fleet)
        assert status['unreached'] == ['vm-2']
        for daemon in status['daemons']:
            if daemon['name'] != 'vm-2':
                assert daemon['config_version'] == 1
                assert daemon['age_ms'] >= 0

    @pytest.mark.parametrize(
        ('body', 'path'),
        [
            ({'tenants': {'salvare': {'weight': -1}}}, 'salvare.weight'),
            ({'tennants': {}}, 'tennants'),
        ],
    )
    def test_bad_patch_is_answered_with_paths(
        self,
        fleet: Fleet,
        body: dict[str, Any],
        path: str,
    ) -> None:
        """An invalid patch is refused with paths and allowed values."""
        reply = send_patch(fleet.operators[0], body, 1)
        assert (reply.status, reply.body['verdict']) == (400, 'not_run')
        faults = reply.body['problems']
        assert [fault['path'].endswith(path) for fault in faults] == [True]
        assert all(fault['allowed'] for fault in faults)
