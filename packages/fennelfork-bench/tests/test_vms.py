"""The VM list stand-in as a process, over the wire."""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork_bench._vms_app import VmList
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig

_OLD = [{'name': 'vm-1'}]
_NEW = [{'name': 'vm-1'}, {'name': 'vm-2'}]


class TestLag:
    """What is shown of the truth."""

    def test_shows_a_change_only_after_the_lag(self) -> None:
        """A change is hidden until it is as old as the lag."""
        time = ManualTime()
        vm_list = VmList(clock=manual_clock(time), lag_ms=1000)
        vm_list.set_truth(_OLD)
        time.advance(5000)
        vm_list.set_truth(_NEW)
        time.advance(999)
        assert vm_list.shown() == _OLD
        time.advance(1)
        assert vm_list.shown() == _NEW


@pytest.mark.process
class TestWire:
    """The list over HTTP."""

    def test_gives_what_was_put(self, rig: Rig) -> None:
        """The truth that control sets is what readers get."""
        process = rig.start_module('vm-list', 'fennelfork_bench.vms')
        address = process.await_ready().ready['address']
        assert http.get(address, '/v1/vms').body == {'vms': []}
        http.put(address, '/control/vms', {'vms': _NEW})
        assert http.get(address, '/v1/vms').body == {'vms': _NEW}

    def test_down_cuts_readers(self, rig: Rig) -> None:
        """While down a reader gets no answer, and reads are counted."""
        process = rig.start_module('vm-list', 'fennelfork_bench.vms')
        address = process.await_ready().ready['address']
        http.post(address, '/control/faults', {'down': True})
        assert http.get(address, '/v1/vms').status == 0
        assert http.get(address, '/control/log').body == {'reads': 1}
