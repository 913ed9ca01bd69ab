"""Tests of daemons on real processes while the store is unresponsive.

Guards against a daemon that keeps an outdated configuration because a watch
that the store has dropped is never timed out.
"""

import time
from typing import Final

import pytest

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet
from fennelfork_platform_bench._state import Silence

# Bound in the settings of the fleet on the time until a change applies.
_MAX_CHANGE_DELAY_S: Final = 3.0
# At least two renewals of the lease fail.
_LONG_OUTAGE_S: Final = 3.0
# Shorter than the interval between two renewals.
_SHORT_OUTAGE_S: Final = 0.3
# The fourth listing of a daemon is in flight when the outage ends.
_START_OUTAGE_S: Final = 8.0
# Time for a listing that times out, a pause and a successful listing.
_MAX_START_S: Final = 3.0
_DAEMON: Final = 'vm-0'


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store with a first configuration."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    started.configure(1)
    return started


@pytest.fixture
def serving(fleet: PlatformFleet) -> PlatformFleet:
    """Start one daemon that watches the store."""
    fleet.start_daemon(_DAEMON, ZONES[0])
    await_ready(fleet, _DAEMON)
    # Time for the registration and the batch delay after it.
    time.sleep(1)
    return fleet


@pytest.mark.process
class TestUnresponsiveStore:
    """A daemon applies changes within the bound of the operators."""

    def test_change_after_outage(self, serving: PlatformFleet) -> None:
        """A change after a long outage is applied in time."""
        _interrupt_store(serving, Silence.ALL, _LONG_OUTAGE_S)
        _expect_change_in_time(serving, 2)

    def test_dropped_watch(self, serving: PlatformFleet) -> None:
        """A change is applied in time if the store drops only the watch.

        The lease renewals succeed, so only the watch can reveal the fault.
        """
        _interrupt_store(serving, Silence.WATCHES, _SHORT_OUTAGE_S)
        _expect_change_in_time(serving, 2)

    def test_dropped_watch_twice(self, serving: PlatformFleet) -> None:
        """A second dropped watch is detected as well."""
        for version in (2, 3):
            _interrupt_store(serving, Silence.WATCHES, _SHORT_OUTAGE_S)
            _expect_change_in_time(serving, version)
            time.sleep(1)

    def test_start_during_outage(self, fleet: PlatformFleet) -> None:
        """A daemon that starts during an outage is ready soon after it."""
        fleet.set_store_silence(Silence.ALL)
        fleet.start_daemon(_DAEMON, ZONES[0])
        time.sleep(_START_OUTAGE_S)
        fleet.set_store_silence(Silence.NONE)
        awaited = 'a daemon that started during the outage'
        wait_until(lambda: fleet.is_ready(_DAEMON), _MAX_START_S, awaited)


def _interrupt_store(
    fleet: PlatformFleet, silence: Silence, duration_s: float
) -> None:
    fleet.set_store_silence(silence)
    time.sleep(duration_s)
    fleet.set_store_silence(Silence.NONE)


def _expect_change_in_time(fleet: PlatformFleet, version: int) -> None:
    fleet.configure(version)
    awaited = f'version {version} to be active'
    wait_until(
        lambda: fleet.serves(_DAEMON, version), _MAX_CHANGE_DELAY_S, awaited
    )
