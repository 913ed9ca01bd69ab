"""A fleet of the rig: real daemons over the platform's stand-ins."""

import pytest

from fennelfork_bench.experiments._small_fleet import hedge_patch, small_fleet
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._caller import Caller
from fennelfork_bench.rig._config import (
    await_version,
    send_patch,
    start_fleet,
    version,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.rig._usage import usage

pytestmark = pytest.mark.process


@pytest.fixture
def fleet(rig: Rig) -> Fleet:
    """Give two daemons and one front in force."""
    return start_fleet(rig, small_fleet(2, seed=1))


def _listed(fleet: Fleet) -> dict[str, str]:
    reply = http.get(fleet.platform.vm_list_address, '/v1/vms')
    return {vm['name']: vm['caller'] for vm in reply.body['vms']}


class TestFleet:
    """Starting, patching and replacing."""

    def test_patch_comes_into_force_everywhere(self, fleet: Fleet) -> None:
        """A patch taken by one daemon is waited for on all."""
        reply = send_patch(fleet.operators[1], hedge_patch(7), 1)
        await_version(fleet, reply.body['version'])
        assert [version(each) for each in fleet.operators] == [2, 2]

    def test_replaced_daemon_is_listed_at_its_new_address(
        self,
        fleet: Fleet,
    ) -> None:
        """A killed daemon vanishes from the list and comes back elsewhere."""
        before = _listed(fleet)
        fleet.daemons['vm-1'].kill()
        fleet.list_vms()
        assert set(_listed(fleet)) == {'vm-2'}
        ended = fleet.daemons['vm-1']
        told: list[bool] = []
        fleet.start_daemons(
            (fleet.daemon_spec('vm-1'),),
            lambda process: told.append(fleet.daemons['vm-1'] is ended),
        )
        # Whoever notes its start does so before others ask it.
        assert told == [True]
        after = _listed(fleet)
        assert after['vm-2'] == before['vm-2']
        assert after['vm-1'] == fleet.daemons['vm-1'].ready['caller']

    def test_caller_finds_every_daemon_and_a_ticket(
        self,
        fleet: Fleet,
    ) -> None:
        """An entry answer names the daemons that are listed."""
        reply = Caller(seeds=tuple(fleet.callers)).entries()
        named = {entry['address'] for entry in reply.body['entries']}
        assert named == set(fleet.callers)
        assert reply.body['ticket']

    def test_usage_of_a_daemon_is_read(self, fleet: Fleet) -> None:
        """The kernel's figures are there for every daemon."""
        readings = [usage(process.pid) for process in fleet.living]
        assert all(reading.resident_mb > 10 for reading in readings)
