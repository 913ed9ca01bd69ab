"""Fleet of real daemons with the platform stand-ins."""

import pytest

from fennelfork_bench.experiments._small_fleet import (
    build_hedge_patch,
    small_fleet,
)
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._caller import Caller
from fennelfork_bench.rig._config import (
    await_version,
    fetch_version,
    send_patch,
    start_fleet,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.rig._usage import read_usage

pytestmark = pytest.mark.process


@pytest.fixture
def fleet(rig: Rig) -> Fleet:
    """Return a fleet of two daemons with one active front."""
    return start_fleet(rig, small_fleet(2, seed=1))


def _list_callers(fleet: Fleet) -> dict[str, str]:
    reply = http.get(fleet.platform.vm_list_address, '/v1/vms')
    return {vm['name']: vm['caller'] for vm in reply.body['vms']}


class TestFleet:
    """Start, configuration patches and replacement of daemons."""

    def test_patch_is_activated_on_all_daemons(self, fleet: Fleet) -> None:
        """A patch that one daemon accepts becomes active on all daemons."""
        reply = send_patch(fleet.operators[1], build_hedge_patch(7), 1)
        await_version(fleet, reply.body['version'])
        assert [fetch_version(each) for each in fleet.operators] == [2, 2]

    def test_replaced_daemon_is_listed_at_its_new_address(
        self,
        fleet: Fleet,
    ) -> None:
        """A killed daemon is unlisted, and its restart gets a new address."""
        before = _list_callers(fleet)
        fleet.daemons['vm-1'].kill()
        fleet.update_vm_list()
        assert set(_list_callers(fleet)) == {'vm-2'}
        killed = fleet.daemons['vm-1']
        were_replaced: list[bool] = []
        fleet.start_daemons(
            (fleet.daemon_spec('vm-1'),),
            lambda process: were_replaced.append(
                fleet.daemons['vm-1'] is killed
            ),
        )
        # `on_ready` runs before the fleet refers to the new process.
        assert were_replaced == [True]
        after = _list_callers(fleet)
        assert after['vm-2'] == before['vm-2']
        assert after['vm-1'] == fleet.daemons['vm-1'].ready['caller']

    def test_entries_name_all_daemons_and_a_ticket(
        self,
        fleet: Fleet,
    ) -> None:
        """An entry answer contains all listed daemons and a ticket."""
        reply = Caller(seeds=tuple(fleet.callers)).fetch_entries()
        addresses = {entry['address'] for entry in reply.body['entries']}
        assert addresses == set(fleet.callers)
        assert reply.body['ticket']

    def test_usage_of_a_daemon_is_read(self, fleet: Fleet) -> None:
        """The resource usage of every daemon is available."""
        readings = [
            read_usage(process.pid) for process in fleet.running_daemons
        ]
        assert all(reading.resident_mb > 10 for reading in readings)
