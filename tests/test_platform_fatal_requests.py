"""Requests that end each backend server that runs them, on real processes.

Seen: all 30 servers of a query's shards ended within a second, came back, and
ended again, five times in a row; nobody's queries over these shards were
answered meanwhile. It came about when one caller's request, which crashes
whatever runs it, came again every second or so, at any daemon. Cause: nothing
knew a request when it came again, as each try has an id of its own and may come
from another address, and each copy that broke off was sent to one server more,
so that one try ended two servers of each shard. Proof: `server_ended` of all
daemons bears the one fingerprint of that request, while servers that others ran
on lived. 9 to 18 tries reached servers later than 5 s after the third end on the
code as it was, and 11 to 21 where the fingerprint had the caller's address in it.
"""

import time
from typing import Final

import pytest

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fatal_runs import (
    MOST_LATER,
    arrivals,
    later_tries,
)
from fennelfork_platform_bench._fleet import DayFleet
from fennelfork_platform_bench._records import FATAL
from fennelfork_platform_bench._revival import Revival
from fennelfork_platform_bench._steady_callers import SteadyCaller

# From here on others are to be served, whatever somebody sends.
_SETTLED_S: Final = 12.0
_LENGTH_S: Final = 22.0
_SERVED: Final = 0.97
_FATAL_PAUSE_S: Final = 0.5
_PAUSE_S: Final = 0.05
_LAPSE_S: Final = 2.0
# Its callers reach the daemons of their own data centre.
_SOURCES: Final = tuple(f'127.0.0.{number}' for number in range(2, 13))


@pytest.fixture
def fleet(processes: Rig) -> DayFleet:
    """Give daemons and servers that all know each other."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    made = DayFleet(rig=processes, store=store.await_ready().ready['address'])
    made.start()
    wait_until(made.is_registered, 20, 'all servers to register')
    for name in made.daemons:
        await_ready(made, name)
    time.sleep(1)
    return made


@pytest.mark.process
class TestFatalRequests:
    """What one such request takes from others."""

    @pytest.mark.parametrize('route', ['all', 'one', 'once'])
    def test_comes_again(self, fleet: DayFleet, route: str) -> None:
        """It is known again at any daemon, and others are served."""
        fatal = SteadyCaller(
            name='fatal',
            fleet=fleet,
            path_of=lambda number: f'/{route}/{FATAL}',
            pause_s=_FATAL_PAUSE_S,
            sources=_SOURCES,
        )
        others = SteadyCaller(
            name='other',
            fleet=fleet,
            path_of=lambda number: (
                f'/{"one" if number % 2 else "all"}/{number}'
            ),
            pause_s=_PAUSE_S,
        )
        begun_s = time.monotonic()
        with Revival(fleet=fleet).running(), others.asking(), fatal.asking():
            time.sleep(_LENGTH_S)
        found = arrivals(fleet.runs)
        assert len(found) >= 3
        assert len(later_tries(found)) <= MOST_LATER
        span = (begun_s + _SETTLED_S, begun_s + _LENGTH_S - 1)
        assert others.served_share(*span) >= _SERVED

    def test_ordinary_one_in_crashes(self, fleet: DayFleet) -> None:
        """A request under way in each of three crashes of all is no such one."""
        popular = SteadyCaller(
            name='popular',
            fleet=fleet,
            path_of=lambda number: '/all/popular',
            pause_s=1 / 30,
        )
        with Revival(fleet=fleet).running(), popular.asking():
            for _ in range(3):
                time.sleep(4)
                for process in fleet.servers.values():
                    process.kill()
            # Their registrations lapse, then they are back.
            time.sleep(_LAPSE_S)
            wait_until(fleet.is_registered, 20, 'all servers to be back')
            back_s = time.monotonic()
            time.sleep(4)
        assert popular.served_share(back_s + 1, back_s + 3) == 1
