"""Tests of the VM list stand-in."""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork_bench._vms_app import VmList
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig

_OLD = [{'name': 'vm-1'}]
_NEW = [{'name': 'vm-1'}, {'name': 'vm-2'}]


class TestLag:
    """Delay until readers see a change."""

    def test_change_is_visible_after_the_lag(self) -> None:
        """A change is invisible until it is as old as the lag."""
        time = ManualTime()
        vm_list = VmList(clock=manual_clock(time), lag_ms=1000)
        vm_list.set_vms(_OLD)
        time.advance(5000)
        vm_list.set_vms(_NEW)
        time.advance(999)
        assert vm_list.visible_vms() == _OLD
        time.advance(1)
        assert vm_list.visible_vms() == _NEW


@pytest.mark.process
class TestWire:
    """The VM list over HTTP, served by a process."""

    def test_returns_list_that_was_set(self, rig: Rig) -> None:
        """Readers get the list that the control API sets."""
        process = rig.start_module('vm-list', 'fennelfork_bench.vms')
        address = process.await_ready().ready['address']
        assert http.get(address, '/v1/vms').body == {'vms': []}
        http.put(address, '/control/vms', {'vms': _NEW})
        assert http.get(address, '/v1/vms').body == {'vms': _NEW}

    def test_down_closes_connections(self, rig: Rig) -> None:
        """Readers get no answer while the list is down; reads are counted."""
        process = rig.start_module('vm-list', 'fennelfork_bench.vms')
        address = process.await_ready().ready['address']
        http.post(address, '/control/faults', {'down': True})
        assert http.get(address, '/v1/vms').status == 0
        assert http.get(address, '/control/log').body == {'reads': 1}
