"""Evacuation of a data centre through the store.

Guards against daemons that miss the start or the end of an evacuation.
"""

from typing import Any

import pytest
from platform_builders import raw_item

from fennelfork import ManualTime, manual_clock
from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_daemon.routes import (
    EvacuationRemoved,
    EvacuationUpdate,
    InvalidEntry,
)
from fennelfork_platform._items import read_event, read_item
from fennelfork_platform_bench._events import await_ready, await_registered
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet

_CLOCK = manual_clock(ManualTime(at_ms=1000))
_KEY = 'op/evacuate/tulcea'
_OK = 200
# Bound of the platform on the time until an evacuation applies.
_TIMEOUT_S = 5


class TestDecoding:
    """Items of the store that request an evacuation."""

    @pytest.mark.parametrize('raw', [b'{}', b'', b'\xff', b'{"by": "me"}'])
    def test_start(self, raw: bytes) -> None:
        """The key alone requests the evacuation, whatever its value."""
        update = read_item(raw_item(_KEY, raw), _CLOCK)
        assert update == EvacuationUpdate(data_centre='tulcea')

    def test_end(self) -> None:
        """The removal of the key ends the evacuation."""
        event = {'Key': _KEY, 'Revision': 9, 'Compacted': True}
        assert read_event(event, _CLOCK) == EvacuationRemoved(
            data_centre='tulcea'
        )

    def test_no_name(self) -> None:
        """A key without a data centre is rejected."""
        update = read_item(raw_item('op/evacuate/', b'{}'), _CLOCK)
        assert isinstance(update, InvalidEntry)


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store, backend servers in two data centres and two daemons."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    started.start(daemons=2)
    await_registered(started)
    return started


@pytest.mark.process
class TestRealProcesses:
    """Daemons that read the store or the updates of another daemon."""

    def test_start_and_end(self, fleet: PlatformFleet) -> None:
        """Each daemon leaves the servers of the data centre, then returns."""
        names = tuple(fleet.daemons)
        client = fleet.store_client
        for name in names:
            await_ready(fleet, name)
        for zone in ZONES:
            client.write_key(f'op/evacuate/{zone}', b'{}')
        wait_until(
            lambda: all(_status(fleet, name) != _OK for name in names),
            _TIMEOUT_S,
            'all daemons to leave both data centres',
        )
        client.remove_key(f'op/evacuate/{ZONES[0]}')
        wait_until(
            lambda: all(_status(fleet, name) == _OK for name in names),
            _TIMEOUT_S,
            'all daemons to use one data centre',
        )


def _status(fleet: PlatformFleet, name: str) -> Any:
    return fleet.send_request(name, '/one/7', f'evacuated-{name}').status
