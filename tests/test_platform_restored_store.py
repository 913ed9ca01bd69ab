"""Tests of real daemons while the store returns from an older copy.

Guards against daemons that miss a version or share a lease, because the store
gives out revisions and lease numbers a second time.
"""

import json
import time
from typing import Final

import pytest
from platform_builders import registration

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet

# Time after the return of the store within which daemons may still be behind.
_MAX_CHANGE_DELAY_S: Final = 5.0
_NAMES: Final = ('vm-0', 'vm-1', 'vm-2')
_LATE_NAMES: Final = ('vm-3', 'vm-4', 'vm-5', 'vm-6')
_ENTRIES: Final = 'fennelfork/daemons/'
# Time to register after readiness.
_REGISTRATION_S: Final = 0.3
# Longer than a lease.
_MAX_EXPIRY_S: Final = 5.0
# Number of entries that are written before the outage and lost.
_LOST_ENTRIES: Final = 40
# More than are lost, so that their revisions are given out again.
_NEW_ENTRIES: Final = 60
_READ_S: Final = 1.5
_AWAY_S: Final = 0.7
_COPY_AGE_MS: Final = 2500.0
# Time for the daemons to register and to choose where they read.
_SETTLING_S: Final = 3.0


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store and three daemons of one data centre."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    started.configure(1)
    for name in _NAMES:
        started.start_daemon(name, ZONES[0])
    for name in _NAMES:
        await_ready(started, name)
    time.sleep(_SETTLING_S)
    return started


@pytest.mark.process
class TestVersion:
    """A version that is written right after the return of the store."""

    @pytest.mark.parametrize('pause_s', [0, 0.1, 0.2, 0.4, 0.8])
    def test_after_restore(self, fleet: PlatformFleet, pause_s: float) -> None:
        """All daemons apply it, although its revision was given out before."""
        _write_entries(fleet, _LOST_ENTRIES)
        time.sleep(_READ_S)
        fleet.set_store_down(True)
        time.sleep(_AWAY_S)
        fleet.store_client.set_faults(restore_ms=_COPY_AGE_MS)
        _expect_version(fleet, pause_s)

    @pytest.mark.parametrize('pause_s', [0, 0.2])
    def test_after_outage(self, fleet: PlatformFleet, pause_s: float) -> None:
        """All daemons apply it if the store has lost nothing."""
        _write_entries(fleet, _LOST_ENTRIES)
        time.sleep(_READ_S)
        fleet.set_store_down(True)
        time.sleep(_AWAY_S)
        fleet.set_store_down(False)
        _expect_version(fleet, pause_s)


@pytest.mark.process
class TestRegistration:
    """Daemons whose leases the copy lacks, as they registered after it."""

    def test_leases(self, fleet: PlatformFleet) -> None:
        """No two daemons use one lease; the entry of a killed one ends."""
        time.sleep(_COPY_AGE_MS / 1000)
        for name in _LATE_NAMES:
            fleet.start_daemon(name, ZONES[0])
        for name in _LATE_NAMES:
            await_ready(fleet, name)
        time.sleep(_REGISTRATION_S)
        fleet.set_store_down(True)
        time.sleep(_AWAY_S)
        fleet.store_client.set_faults(restore_ms=_COPY_AGE_MS)
        time.sleep(_SETTLING_S)
        leases = fleet.store_client.read_leases(_ENTRIES)
        names = {key.removeprefix(_ENTRIES) for key in leases}
        assert names == {*_NAMES, *_LATE_NAMES}
        assert len(set(leases.values())) == len(leases)
        for name in _LATE_NAMES:
            fleet.daemons[name].kill()
        wait_until(
            lambda: fleet.store_client.count_keys(_ENTRIES) == len(_NAMES),
            _MAX_EXPIRY_S,
            'the entries of the killed daemons to expire',
        )


def _expect_version(fleet: PlatformFleet, pause_s: float) -> None:
    """Write a version and then entries, and wait for the version."""
    fleet.configure(2)
    written_s = time.monotonic()
    time.sleep(pause_s)
    _write_entries(fleet, _NEW_ENTRIES)
    remaining_s = _MAX_CHANGE_DELAY_S - (time.monotonic() - written_s)
    wait_until(
        lambda: all(fleet.serves(name, 2) for name in _NAMES),
        remaining_s,
        'version 2 to be active on all daemons',
        lambda: str([name for name in _NAMES if not fleet.serves(name, 2)]),
    )


def _write_entries(fleet: PlatformFleet, count: int) -> None:
    """Write entries of backend servers, each with a revision of its own."""
    raw = json.dumps(registration()).encode()
    fleet.store_client.write_keys(
        {f'servers/i-{number}': raw for number in range(count)}
    )
