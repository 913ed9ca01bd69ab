"""Unexpected entries of another writer among those of the backend servers.

Guards against an entry that ends a daemon, or after which a daemon no longer
follows the store.
"""

import functools
import json
import time
from collections.abc import Iterator

import pytest
from platform_builders import INVALID_BYTES, INVALID_FIELDS, registration

from fennelfork_bench.rig._process import rig, wait_until
from fennelfork_platform_bench._events import await_ready, await_registered
from fennelfork_platform_bench._fleet import PlatformFleet

_DAEMONS = ('vm-0', 'vm-1')
_PATIENCE_S = 5
_ENTRIES_PER_CHECK = 10
_UNEXPECTED_CONFIG_S = 0.3
# JSON values of one field, in addition to `INVALID_FIELDS`.
_UNEXPECTED_VALUES = (
    b'1e308',
    b'1e400',
    b'-1e400',
    b'9' * 5000,
    b'-0',
    json.dumps('\ud800').encode(),
    json.dumps('\x00').encode(),
    b'"10.1.0.9:65536"',
    b'"10.1.0.9:99999999999999999999"',
    b'"10.1.0.9:-1"',
    b'"[::1]:80"',
    b'%s%s' % (b'[' * 5000, b']' * 5000),
    b'%s1%s' % (b'{"a":' * 2000, b'}' * 2000),
    b'NaN',
    b'Infinity',
)
_UNEXPECTED_KEYS = (
    'servers/',
    'servers//',
    'servers/a b',
    'servers/\x00',
    'servers/\u2028',
    f'servers/{"x" * 190}',
    'servers/i-1/servers/i-2',
    'serversx',
    'unknown/1',
)


def _unexpected_entries(service: str) -> dict[str, bytes]:
    """Return unexpected entries of a service by their keys.

    Nothing listens at their address.
    """
    valid = registration(Service=service, Address='127.0.0.1:9')
    entries = {key: json.dumps(valid).encode() for key in _UNEXPECTED_KEYS}
    unexpected = [
        json.dumps(valid | changes).encode() for changes in INVALID_FIELDS
    ]
    unexpected += INVALID_BYTES
    for field, text in valid.items():
        whole = json.dumps(valid).encode()
        pair = json.dumps({field: text}).encode()[1:-1]
        name = json.dumps(field).encode()
        unexpected += [
            whole.replace(pair, b'%s: %s' % (name, raw_value))
            for raw_value in _UNEXPECTED_VALUES
        ]
    entries |= {
        f'servers/i-unexpected-{place}': raw
        for place, raw in enumerate(unexpected)
    }
    return entries


@pytest.fixture
def fleet() -> Iterator[PlatformFleet]:
    """Run a store, backend servers and two daemons."""
    with rig() as processes:
        store = processes.start_module(
            'store', 'fennelfork_platform_bench.store'
        )
        running = PlatformFleet(
            rig=processes, store=store.await_ready().ready['address']
        )
        running.start(daemons=len(_DAEMONS))
        await_registered(running)
        for daemon in _DAEMONS:
            await_ready(running, daemon)
        yield running


def _check_daemons(fleet: PlatformFleet, version: int) -> None:
    """Check that the daemons run, answer and follow the store."""
    fleet.configure(version)
    for daemon in _DAEMONS:
        serves = functools.partial(fleet.serves, daemon, version)
        wait_until(serves, _PATIENCE_S, f'version {version}')
        for path in ('/one/7', '/all/7', '/once/7'):
            answer = fleet.send_request(daemon, path, f'unexpected-{version}')
            assert answer.status == 200, answer.data
        assert fleet.daemons[daemon].alive


@pytest.mark.process
class TestUnexpectedEntries:
    """Entries that no backend server writes."""

    def test_each_entry_alone(self, fleet: PlatformFleet) -> None:
        """The daemons serve while entries are written and removed."""
        version = 1
        for place, (key, raw) in enumerate(
            _unexpected_entries('archive').items()
        ):
            fleet.store_client.write_key(key, raw)
            if place % _ENTRIES_PER_CHECK == 0:
                version += 1
                _check_daemons(fleet, version)
            fleet.store_client.remove_key(key)
        _check_daemons(fleet, version + 1)

    @pytest.mark.parametrize('raw', INVALID_BYTES)
    def test_unexpected_configuration(
        self, fleet: PlatformFleet, raw: bytes
    ) -> None:
        """The previous configuration stays in force until the next valid one."""
        fleet.store_client.write_key('op/config', raw)
        time.sleep(_UNEXPECTED_CONFIG_S)
        for daemon in _DAEMONS:
            assert fleet.serves(daemon, 1)
        _check_daemons(fleet, 2)

    def test_all_entries_at_the_start(self, fleet: PlatformFleet) -> None:
        """A daemon that starts while all entries are listed serves, too."""
        for key, raw in _unexpected_entries('unexpected').items():
            fleet.store_client.write_key(key, raw)
        _check_daemons(fleet, 2)
        fleet.start_daemon('vm-2', 'east-1')
        await_ready(fleet, 'vm-2')
        assert fleet.send_request('vm-2', '/all/7', 'unexpected').status == 200
        _check_daemons(fleet, 3)
