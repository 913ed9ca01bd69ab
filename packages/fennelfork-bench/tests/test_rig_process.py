"""Start, stop and cleanup of processes of the rig."""

import os
import sys

import pytest

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig, RigError, rig

pytestmark = pytest.mark.process


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class TestRig:
    """Life cycle of processes."""

    def test_exit_kills_every_process(self) -> None:
        """The exit kills a paused process and removes the directory."""
        with rig() as started:
            process = started.start_module('vms', 'fennelfork_bench.vms')
            process.await_ready().pause()
            pid = process.pid
        assert not _is_running(pid)
        assert not started.directory.exists()

    def test_early_exit_is_reported_with_errors(self, rig: Rig) -> None:
        """The error contains the process name and its standard error."""
        program = 'import sys; sys.exit("port is taken")'
        process = rig.start('broken', (sys.executable, '-c', program))
        with pytest.raises(RigError, match=r'broken.*port is taken'):
            process.await_ready()

    def test_terminate_is_graceful(self, rig: Rig) -> None:
        """A stand-in exits with status 0 on SIGTERM."""
        process = rig.start_module('vms', 'fennelfork_bench.vms')
        process.await_ready().terminate()
        assert process.wait(10) == 0

    def test_paused_process_answers_once_resumed(self, rig: Rig) -> None:
        """A paused process accepts connections but sends no response."""
        process = rig.start_module('vms', 'fennelfork_bench.vms')
        address = process.await_ready().ready['address']
        process.pause()
        paused = http.get(address, '/v1/vms', timeout_ms=200)
        process.resume()
        assert paused.fault == 'ReadTimeoutError'
        assert http.get(address, '/v1/vms').is_success
