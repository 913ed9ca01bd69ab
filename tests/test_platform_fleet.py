"""Start of the processes of a fleet on a busy machine."""

import threading

import pytest

from fennelfork_bench.rig._process import Rig
from fennelfork_platform_bench._events import await_registered
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet

_START_DELAY_S = 3
_REGISTRATION_TIMEOUT_S = 1


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    return PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )


@pytest.mark.process
class TestAwaitRegistered:
    """Guard against a slow start that counts as a missing registration."""

    def test_slow_start(self, fleet: PlatformFleet) -> None:
        """The time for the registration begins once all servers listen."""
        fleet.start_server('archive', ZONES[0], 'archive-east-1')
        server = fleet.servers['archive-east-1']
        server.pause()
        resuming = threading.Timer(_START_DELAY_S, server.resume)
        resuming.start()
        await_registered(fleet, _REGISTRATION_TIMEOUT_S)
        resuming.join()
