"""Keys and names of workspaces on the wire.

Guards against a key that reaches a backend server or a log, against a name that
a caller sets, and against requests that run without a valid key.
"""

import json
import pathlib
from typing import Any

import attrs
import pytest
from daemon_builders_routes import FollowingDaemon
from platform_builders import (
    SETTINGS,
    config,
    environ,
    item,
    raw_item,
    route,
)
from returns.pipeline import is_successful

from fennelfork import FailureCode, ManualTime, manual_clock
from fennelfork.routes import BackendServer, RouteTable
from fennelfork.workspaces import AccessPolicy
from fennelfork_daemon.routes import ConfigUpdate, InvalidEntry, Refused
from fennelfork_daemon.routes._authorization import Authorizer
from fennelfork_platform._backends import PlatformBackends
from fennelfork_platform._callers import PlatformCallers
from fennelfork_platform._items import read_item
from fennelfork_platform._settings import load_settings

_CLOCK = manual_clock(ManualTime(at_ms=1000))
_CALLERS = PlatformCallers()
_KEY = 'hz6prvnzqjynjcfv8nmp'
_OTHER_KEY = 'by256b5cwa32q6qynkki'
_SERVER = BackendServer(
    instance='i-7',
    service='archive',
    address='10.1.0.9:80',
    data_centre='tulcea',
    slots=5,
)
_TENANT = {
    'Name': 'kami770',
    'ApiKeys': [_KEY, _OTHER_KEY],
    'Priority': 0,
    'RatePerS': 13,
    'Burst': 13,
    'HomeRegions': [],
}
_PRIVATE = route()
_PUBLIC = route(Public=True)


def _read(*routes: Any, **fields: Any) -> Any:
    tree = config(*routes) | fields
    return read_item(item('op/config', tree), _CLOCK)


def _table(wanted: Any, tenants: Any = (_TENANT,)) -> RouteTable:
    update = _read(wanted, Tenants=tenants)
    assert isinstance(update, ConfigUpdate)
    return update.table


def _environ(*headers: tuple[str, str]) -> dict[str, Any]:
    return environ(headers_raw=(('Accept', 'a'), *headers))


@attrs.define(kw_only=True)
class _Daemon:
    """Authorization of a daemon that has read the store just now."""

    following: FollowingDaemon = attrs.field(factory=FollowingDaemon)
    policy: AccessPolicy = AccessPolicy()

    def ask(self, table: RouteTable | None, *headers: tuple[str, str]) -> Any:
        """Return the result for a request with some headers."""
        authorizer = Authorizer(
            policy=self.policy,
            availability=self.following.availability,
            codec=_CALLERS,
        )
        asked = _CALLERS.read_request(_environ(*headers), None).unwrap()
        return authorizer.authorize(table, asked)

    def sent(
        self, table: RouteTable, *headers: tuple[str, str]
    ) -> list[tuple[str, str]]:
        """Return the headers that a backend server gets."""
        asked = self.ask(table, *headers).unwrap().caller_request
        call = PlatformBackends().write_request(asked, _SERVER, lambda: 100)
        return [
            (name, text)
            for name, text in call.headers + call.timed_headers()
            if name not in {'Accept', 'X-Deadline-Ms', 'X-Expect-Instance'}
        ]


class TestHeaders:
    """Headers of a request that backend servers get."""

    @pytest.mark.parametrize(
        'forged',
        [
            (),
            (('X-Tenant-Id', 'other'),),
            (('x-tenant-ID', 'other'), ('X-TENANT-ID', 'third')),
            (('X_Tenant_Id', 'other'), ('X-Tenant_Id ', 'other')),
            (('Connection', 'X-Tenant-Id, X-Api-Key'),),
            (('X_Api_Key', _OTHER_KEY),),
        ],
    )
    def test_name_replaces_key(self, forged: Any) -> None:
        """Only the name of the workspace arrives, whatever the caller sent."""
        sent = _Daemon().sent(
            _table(_PRIVATE), ('X-API-key', f' {_KEY} '), *forged
        )
        assert sent == [('X-Tenant-Id', 'kami770')]

    def test_no_workspaces(self) -> None:
        """Without workspaces, both headers are forwarded as they are."""
        headers = [('X-Api-Key', _KEY), ('X-Tenant-Id', 'own')]
        for tenants in ((), None):
            assert (
                _Daemon().sent(_table(_PRIVATE, tenants), *headers) == headers
            )

    @pytest.mark.parametrize(
        ('key', 'expected'),
        [(_KEY, [('X-Tenant-Id', 'kami770')]), ('unknown', []), ('', [])],
    )
    def test_public(self, key: str, expected: Any) -> None:
        """A public route needs no key, and forwards none."""
        headers = (('X-Api-Key', key), ('X-Tenant-Id', 'other'))
        assert _Daemon().sent(_table(_PUBLIC), *headers) == expected

    def test_name_in_utf8(self) -> None:
        """A name beyond ASCII is sent as UTF-8."""
        tenants = [_TENANT | {'Name': 'Łódź'}]
        sent = _Daemon().sent(_table(_PRIVATE, tenants), ('X-Api-Key', _KEY))
        assert sent[0][1].encode('latin-1').decode() == 'Łódź'


class TestRefusals:
    """Requests that do not run."""

    @pytest.mark.parametrize(
        'headers',
        [
            (),
            (('X-Api-Key', ''),),
            (('X-Api-Key', 'unknown'),),
            (('X-Api-Key', _KEY.upper()),),
            (('X-Api-Key', 'x' * 100_000),),
            (('X-Api-Key', 'é'),),
            (('X-Api-Key', _KEY), ('x-api-key', _KEY)),
            (('X_Api_Key', _KEY),),
            (('X-Tenant-Id', 'kami770'),),
        ],
    )
    def test_unknown_key(self, headers: Any) -> None:
        """One valid key is needed; no key is in the reason."""
        refused = _Daemon().ask(_table(_PRIVATE), *headers).failure()
        assert refused.code is FailureCode.UNKNOWN_KEY
        assert _CALLERS.write_answer(_refused(refused)).status == 401
        assert _KEY not in refused.detail
        assert len(refused.detail) < 100

    def test_no_configuration(self) -> None:
        """Without a configuration, no key is called unknown."""
        refused = _Daemon().ask(None, ('X-Api-Key', _KEY)).failure()
        assert refused.code is FailureCode.PLATFORM
        assert refused.retry_after_ms

    def test_key_is_not_shown(self) -> None:
        """A request with a key is represented without the key."""
        asked = _CALLERS.read_request(_environ(('X-Api-Key', _KEY)), None)
        assert _KEY not in repr(asked)
        assert _KEY not in repr(_Daemon().ask(_table(_PRIVATE)))

    @pytest.mark.parametrize(
        ('is_strict', 'age_ms', 'is_public', 'runs'),
        [
            (False, 10**6, False, True),
            (True, 5000, False, True),
            (True, 5001, False, False),
            (True, 10**6, True, True),
        ],
    )
    def test_old_configuration(
        self, *, is_strict: bool, age_ms: float, is_public: bool, runs: bool
    ) -> None:
        """A strict daemon refuses keys that may have been removed."""
        daemon = _Daemon(
            policy=AccessPolicy(is_strict=is_strict, revoke_ms=5000)
        )
        daemon.following.time.advance(age_ms)
        wanted = _PUBLIC if is_public else _PRIVATE
        outcome = daemon.ask(_table(wanted), ('X-Api-Key', _KEY))
        assert is_successful(outcome) is runs
        if not runs:
            reply = _CALLERS.write_answer(_refused(outcome.failure()))
            assert reply.status == 503
            assert dict(reply.headers) == {'Retry-After': '1.000'}


class TestFingerprint:
    """Fingerprints of requests."""

    def test_workspace(self) -> None:
        """The workspace counts, the key and the header of the caller do not."""
        table = _table(_PRIVATE, [_TENANT, {'Name': 'b', 'ApiKeys': ['k']}])
        first = _fingerprint(table, _KEY)
        assert first == _fingerprint(table, _OTHER_KEY, 'b')
        assert first != _fingerprint(table, 'k')

    def test_no_workspace(self) -> None:
        """Without a workspace, the fingerprint is that of earlier versions."""
        asked = _CALLERS.read_request(_environ(), None).unwrap()
        assert asked.fingerprint == '651f8a195eed25f0d9e0c68684c0d405'


class TestDecoding:
    """Workspaces in the configuration."""

    def test_workspace(self) -> None:
        """All fields are decoded."""
        tenant = _TENANT | {'Priority': 2, 'HomeRegions': ['delta']}
        table = _table(_PRIVATE, [tenant])
        found = table.find_workspace('kami770')
        assert found is not None
        assert (found.rate_per_s, found.burst) == (13, 13)
        assert (found.priority, found.home_regions) == (2, {'delta'})
        assert not table.routes[0].is_public

    def test_optional_fields(self) -> None:
        """A workspace without a limit and without keys is valid."""
        table = _table(_PUBLIC, [{'Name': 'a'}, {'Name': 'b', 'ApiKeys': None}])
        found = table.find_workspace('a')
        assert found is not None
        assert not found.is_limited
        assert (found.priority, found.home_regions) == (None, None)
        assert table.routes[0].is_public

    @pytest.mark.parametrize(
        'fields',
        [
            {'Tenants': 'kami770'},
            {'Tenants': {'a': 1}},
            {'Tenants': [7]},
            {'Tenants': [_TENANT, _TENANT | {'Name': 'b'}]},
            {'Tenants': [_TENANT | {'ApiKeys': _KEY}]},
            {'Tenants': [_TENANT | {'ApiKeys': [[_KEY]]}]},
            {'Tenants': [_TENANT | {'RatePerS': -1}]},
            {'Tenants': [_TENANT | {'Burst': 'many'}]},
            {'Tenants': [_TENANT | {'HomeRegions': 'delta'}]},
            {'Tenants': [_TENANT | {'Name': 'a\nb'}]},
        ],
    )
    def test_invalid(self, fields: Any) -> None:
        """A configuration is refused as a whole, and no key is in the line."""
        update = _read(_PRIVATE, **fields)
        assert isinstance(update, InvalidEntry)
        assert _KEY not in update.problem

    @pytest.mark.parametrize('public', [1, 'false', []])
    def test_invalid_public(self, public: Any) -> None:
        """A route is public only if the configuration says so clearly."""
        update = _read(route(Public=public))
        assert isinstance(update, InvalidEntry)
        assert 'Public of route r-1' in update.problem

    def test_invalid_bytes(self) -> None:
        """The line about bytes that are not text does not contain them."""
        text = json.dumps(config() | {'Tenants': [_TENANT]})
        raw = raw_item('op/config', b'%b\xff' % text.encode())
        update = read_item(raw, _CLOCK)
        assert isinstance(update, InvalidEntry)
        assert _KEY not in update.problem

    def test_last_good_one_stays(self) -> None:
        """An invalid version leaves the keys of the one before."""
        following = FollowingDaemon()
        following.apply_listing(_read(_PRIVATE, Tenants=[_TENANT]))
        bad = [_TENANT | {'RatePerS': -1}]
        following.apply_updates(_read(_PRIVATE, Tenants=bad, Version=8))
        known = following.blackboard.table
        assert known.version == 7
        assert known.workspaces.find(_KEY).name == 'kami770'
        assert _KEY not in following.log.getvalue()


class TestSettings:
    """Bound on the use of removed keys in the settings file."""

    @pytest.mark.parametrize(
        ('bounds', 'expected'),
        [
            ('', AccessPolicy(is_strict=False, revoke_ms=3000)),
            (
                'StrictRevoke = true\nRevokeMs = 4000',
                AccessPolicy(is_strict=True, revoke_ms=4000),
            ),
            (
                'StrictRevoke = true\nRevokeMs = 0',
                AccessPolicy(is_strict=True, revoke_ms=3000),
            ),
        ],
    )
    def test_policy(
        self, tmp_path: pathlib.Path, bounds: str, expected: AccessPolicy
    ) -> None:
        """By default old keys are used; the bound is that of changes."""
        path = tmp_path / 'daemon.toml'
        path.write_text(SETTINGS.replace('[Bounds]', f'[Bounds]\n{bounds}'))
        assert load_settings(path).unwrap().access == expected


def _fingerprint(table: RouteTable, key: str, name: str = '') -> str:
    headers = (('X-Api-Key', key), ('X-Tenant-Id', name))
    asked = _Daemon().ask(table, *headers).unwrap()
    return str(asked.caller_request.fingerprint)


def _refused(failure: Any) -> Any:
    return Refused(failure=failure, request_id=None)
