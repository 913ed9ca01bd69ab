"""Tests of poison requests on real processes.

Guards against a request that crashes backend servers again and again because
no daemon recognises the request when a caller repeats it.
"""

import time
from typing import Final

import pytest

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import PlatformFleet
from fennelfork_platform_bench._poison_arrivals import (
    MAX_LATE_REQUESTS,
    find_late_requests,
    read_poison_arrivals,
)
from fennelfork_platform_bench._records import POISON_MARKER
from fennelfork_platform_bench._server_restarter import ServerRestarter
from fennelfork_platform_bench._steady_callers import ConstantRateCaller

# Time until the requests of other callers must succeed.
_SETTLE_S: Final = 12.0
_DURATION_S: Final = 22.0
_MIN_SERVED_SHARE: Final = 0.97
_POISON_PAUSE_S: Final = 0.5
_PAUSE_S: Final = 0.05
_LEASE_EXPIRY_S: Final = 2.0
# Source addresses of the callers of the poison request.
_SOURCES: Final = tuple(f'127.0.0.{number}' for number in range(2, 13))


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store, daemons and registered backend servers."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    started.start()
    wait_until(started.is_registered, 20, 'all servers to register')
    for name in started.daemons:
        await_ready(started, name)
    time.sleep(1)
    return started


@pytest.mark.process
class TestPoisonRequests:
    """The effect of a poison request on other callers."""

    @pytest.mark.parametrize('route', ['all', 'one', 'once'])
    def test_repeated_request(self, fleet: PlatformFleet, route: str) -> None:
        """All daemons recognise the request, and others are served."""
        poison = ConstantRateCaller(
            name='fatal',
            fleet=fleet,
            path_of=lambda number: f'/{route}/{POISON_MARKER}',
            pause_s=_POISON_PAUSE_S,
            sources=_SOURCES,
        )
        others = ConstantRateCaller(
            name='other',
            fleet=fleet,
            path_of=lambda number: (
                f'/{"one" if number % 2 else "all"}/{number}'
            ),
            pause_s=_PAUSE_S,
        )
        start_s = time.monotonic()
        with (
            ServerRestarter(fleet=fleet).running(),
            others.running(),
            poison.running(),
        ):
            time.sleep(_DURATION_S)
        observed = read_poison_arrivals(fleet.server_logs)
        assert len(observed) >= 3
        assert len(find_late_requests(observed)) <= MAX_LATE_REQUESTS
        span = (start_s + _SETTLE_S, start_s + _DURATION_S - 1)
        assert others.success_share(*span) >= _MIN_SERVED_SHARE

    def test_unrelated_crashes(self, fleet: PlatformFleet) -> None:
        """A request in flight during three power losses is not quarantined."""
        popular = ConstantRateCaller(
            name='popular',
            fleet=fleet,
            path_of=lambda number: '/all/popular',
            pause_s=1 / 30,
        )
        with ServerRestarter(fleet=fleet).running(), popular.running():
            for _ in range(3):
                time.sleep(4)
                for process in fleet.servers.values():
                    process.kill()
            # The registrations expire before the servers register again.
            time.sleep(_LEASE_EXPIRY_S)
            wait_until(fleet.is_registered, 20, 'all servers to register again')
            recovery_s = time.monotonic()
            time.sleep(4)
        assert popular.success_share(recovery_s + 1, recovery_s + 3) == 1
