"""The configuration of real daemons while the platform misbehaves."""

import functools
import json
from collections.abc import Callable
from concurrent import futures
from typing import Any

import pytest
from bench_builders_platform import text

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, send_patch, version
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_bench.rig._specs import FleetSpec, daemon_specs

_CAP_S = 20
_DAEMONS = 4
_ALL_AT_ONE = [1, 1, 1, 1]


@pytest.fixture
def fleet(rig: Rig) -> Fleet:
    """Give four daemons without fronts, with version 1 in force on all."""
    spec = FleetSpec(fronts=(), daemons=daemon_specs(_DAEMONS))
    started = empty_fleet(rig, spec).start_daemons()
    assert _patch(started, 0).status == 200
    await_version(started, 1)
    _await(lambda: _knows_all(started), 'all to know all')
    return started


def _knows_all(fleet: Fleet) -> bool:
    pages = [
        _page(fleet, '/v1/config/status', which) for which in range(_DAEMONS)
    ]
    return all(len(page['daemons']) == _DAEMONS for page in pages)


def _patch(
    fleet: Fleet,
    base: int,
    which: int = 0,
    patch_id: str = '',
    weight: int = 0,
) -> http.HttpReply:
    patch = {'tenants': {'salvare': {'weight': weight or base + 1}}}
    return send_patch(fleet.operators[which], patch, base, patch_id=patch_id)


def _enter_race(fleet: Fleet, base: int, number: int) -> http.HttpReply:
    weight = 10 * base + number
    return _patch(fleet, base, number % _DAEMONS, weight=weight)


def _page(fleet: Fleet, path: str, which: int = 0) -> dict[str, Any]:
    return http.get(fleet.operators[which], path).body


def _status(fleet: Fleet) -> dict[str, Any]:
    return _page(fleet, '/v1/config/status')


def _await(holds: Callable[[], Any], awaited: str) -> None:
    wait_until(holds, _CAP_S, awaited)


def _versions(fleet: Fleet) -> list[int]:
    return [version(operator) for operator in fleet.operators]


def _remove_document(fleet: Fleet) -> None:
    address = fleet.platform.key_value_address
    body = {'key': text('/fennelfork/config')}
    assert http.post(address, '/v3/kv/deleterange', body).fine


def _has_anomaly(fleet: Fleet, outcome: str) -> bool:
    found = [daemon['anomaly'] for daemon in _status(fleet)['daemons']]
    return outcome in found


@pytest.mark.process
class TestOutage:
    """The platform answers nothing."""

    def test_serving_goes_on_and_patches_are_refused(
        self,
        fleet: Fleet,
    ) -> None:
        """Each daemon keeps its version; a patch was truly not run."""
        fleet.platform.switch(down=True)
        reply = _patch(fleet, 1)
        assert reply.status == 503
        assert reply.body['verdict'] == 'not_run'
        assert _versions(fleet) == _ALL_AT_ONE
        fleet.platform.switch(down=False)
        _await(lambda: _patch(fleet, 1).fine, 'the platform to be back')
        await_version(fleet, 2)
        history = _page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == [1, 2]

    def test_daemon_that_starts_takes_the_document_from_peers(
        self,
        fleet: Fleet,
    ) -> None:
        """A start needs no key-value service while a peer lives."""
        fleet.platform.switch(down=True)
        fleet.daemons['vm-4'].kill()
        fleet.start_daemons([fleet.spec.daemons[3]])
        _await(lambda: _versions(fleet) == _ALL_AT_ONE, 'the new daemon')
        restarted = _status(fleet)['daemons'][3]
        assert restarted['confirmed_age_ms'] is None

    def test_return_brings_no_stampede(self, fleet: Fleet) -> None:
        """The call log shows few calls in the first second after."""
        fleet.platform.switch(down=True)
        began_ms = fleet.platform.log()['now_ms']
        _await(lambda: len(_calls(fleet, began_ms)) >= 12, 'a few tries')
        fleet.platform.switch(down=False)
        back_ms = fleet.platform.log()['now_ms']
        _await(lambda: fleet.platform.log()['watching'] == 4, 'all watches')
        first = [
            call
            for call in _calls(fleet, back_ms)
            if call['at_ms'] < back_ms + 1000
        ]
        assert len(first) <= 3 * _DAEMONS

    def test_refused_calls_are_few_and_refuse_the_patch(
        self,
        fleet: Fleet,
    ) -> None:
        """Refused by rate, daemons back off and say that nothing ran."""
        fleet.platform.switch(refuse=True)
        reply = _patch(fleet, 1)
        assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        fleet.platform.switch(refuse=False)
        _await(lambda: _patch(fleet, 1).fine, 'the platform to take calls')


def _calls(fleet: Fleet, since_ms: float) -> list[dict[str, Any]]:
    calls: list[dict[str, Any]] = fleet.platform.log(since_ms)['calls']
    return calls


@pytest.mark.process
class TestLostReply:
    """A write takes effect and its reply is lost."""

    @pytest.mark.parametrize('lost', [1, 2])
    def test_patch_is_accepted_once(self, fleet: Fleet, lost: int) -> None:
        """Reading back finds the patch; it made one version."""
        fleet.platform.switch(lose_replies=lost)
        reply = _patch(fleet, 1, patch_id='mine')
        assert reply.status == 200
        assert reply.body['version'] == 2
        again = _patch(fleet, 1, which=1, patch_id='mine')
        assert (again.status, again.body['version']) == (200, 2)
        history = _page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == [1, 2]

    def test_slow_platform_refuses_and_later_takes(self, rig: Rig) -> None:
        """Where reads time out nothing is written; the same id works later."""
        tables = {'timeouts': {'platform_ms': 300}}
        specs = daemon_specs(2, tables=tables)
        spec = FleetSpec(fronts=(), daemons=specs)
        slow = empty_fleet(rig, spec).start_daemons()
        assert _patch(slow, 0).fine
        slow.platform.switch(slow_ms=700)
        reply = _patch(slow, 1, patch_id='late')
        assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        slow.platform.switch(slow_ms=0)
        settled = _patch(slow, 1, which=1, patch_id='late')
        assert (settled.status, settled.body['version']) == (200, 2)
        await_version(slow, 2)


@pytest.mark.process
class TestRace:
    """Operators patch the same version at once, through all daemons."""

    def test_one_winner_a_version(self, fleet: Fleet) -> None:
        """Each round has one winner; losers learn the version in force."""
        with futures.ThreadPoolExecutor(8) as operators:
            for base in range(1, 6):
                enter = functools.partial(_enter_race, fleet, base)
                replies = list(operators.map(enter, range(8)))
                losers = [reply for reply in replies if reply.status == 409]
                assert len(losers) == 7
                assert sum(reply.fine for reply in replies) == 1
                assert {reply.body['version'] for reply in losers} == {base + 1}
                assert all(reply.body['changes'] for reply in losers)
        await_version(fleet, 6)
        history = _page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == list(range(1, 7))

    def test_paused_writer_does_no_harm_when_it_wakes(
        self,
        fleet: Fleet,
    ) -> None:
        """A writer stopped between read and write makes no second version."""
        fleet.platform.switch(slow_ms=300)
        began_ms = fleet.platform.log()['now_ms']
        with futures.ThreadPoolExecutor(1) as operator:
            paused = operator.submit(_patch, fleet, 1, 0, 'paused', 9)
            _await(lambda: _calls(fleet, began_ms), 'the writer to read')
            fleet.daemons['vm-1'].pause()
            fleet.platform.switch(slow_ms=0)
            other = _patch(fleet, 1, which=1, patch_id='other', weight=8)
            fleet.daemons['vm-1'].resume()
            late = paused.result()
        settled = _patch(fleet, 1, which=2, patch_id='paused', weight=9)
        assert {other.status, settled.status} == {200, 409}
        assert (late.status, settled.status) != (200, 409)
        assert (late.body.get('verdict'), settled.status) != ('not_run', 200)
        await_version(fleet, 2)
        history = _page(fleet, '/v1/config/history')['patches']
        assert [record['version'] for record in history] == [1, 2]


@pytest.mark.process
class TestWrongValue:
    """The platform shows what it should not."""

    def test_older_value_reverts_nothing(self, fleet: Fleet) -> None:
        """An older document is reported, kept out, and not built upon."""
        older = _page(fleet, '/v1/config')
        assert _patch(fleet, 1).fine
        await_version(fleet, 2)
        fleet.platform.write_document(older)
        _await(lambda: _has_anomaly(fleet, 'older'), 'the report')
        assert _versions(fleet) == [2, 2, 2, 2]
        reply = _patch(fleet, 2)
        assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        assert 'version 2 was already accepted' in reply.body['detail']

    def test_emptied_platform_takes_the_document_back(
        self,
        fleet: Fleet,
    ) -> None:
        """Patches wait until the document is put back, in any layout."""
        assert _patch(fleet, 1).fine
        await_version(fleet, 2)
        held = _page(fleet, '/v1/config')
        _remove_document(fleet)
        _await(lambda: _has_anomaly(fleet, 'empty'), 'the report')
        assert _versions(fleet) == [2, 2, 2, 2]
        for base in (0, 2):
            reply = _patch(fleet, base)
            assert (reply.status, reply.body['verdict']) == (503, 'not_run')
        fleet.platform.write_document(held)
        _await(lambda: not _has_anomaly(fleet, 'empty'), 'the agreement')
        assert _patch(fleet, 2).body['version'] == 3
        await_version(fleet, 3)

    def test_other_document_of_the_version_is_a_conflict(
        self,
        fleet: Fleet,
    ) -> None:
        """Two documents of one version are reported, none is exchanged."""
        held = _page(fleet, '/v1/config')
        fleet.platform.write_document({**held, 'tenants': {}})
        _await(lambda: _has_anomaly(fleet, 'conflict'), 'the report')
        assert _page(fleet, '/v1/config') == held

    def test_unreadable_value_is_reported(self, fleet: Fleet) -> None:
        """What is no document is kept out, with its faults."""
        fleet.platform.write_document({'version': 9, 'nonsense': 1})
        _await(lambda: _has_anomaly(fleet, 'invalid'), 'the report')
        assert _versions(fleet) == _ALL_AT_ONE
        shown = json.dumps(_status(fleet)['anomalies'])
        assert 'nonsense' in shown

    def test_silent_watch_is_made_up_for_by_reads(self, fleet: Fleet) -> None:
        """A watch that stalls does not keep a version from coming."""
        fleet.platform.switch(stall_watches=True)
        held = _page(fleet, '/v1/config')
        fleet.platform.write_document({**held, 'version': 2})
        await_version(fleet, 2)


@pytest.mark.process
class TestStatus:
    """What operators see of the fleet."""

    def test_names_who_is_out_of_reach(self, fleet: Fleet) -> None:
        """A killed daemon is listed with the reason, the rest with ages."""
        fleet.daemons['vm-2'].kill()
        shown = _status(fleet)
        assert shown['unreached'] == ['vm-2']
        for daemon in shown['daemons']:
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
        """The author of a bad patch reads what is wrong and what is allowed."""
        reply = send_patch(fleet.operators[0], body, 1)
        assert (reply.status, reply.body['verdict']) == (400, 'not_run')
        faults = reply.body['problems']
        assert [fault['path'].endswith(path) for fault in faults] == [True]
        assert all(fault['allowed'] for fault in faults)
