"""Guard against lost control commands and lost events of stand-ins."""

import pytest

from fennelfork_bench.history._server import (
    ExecuteRan,
    QueryRan,
    WorkReceived,
    WorkRefused,
)
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig, RigError
from fennelfork_bench.soak._servers import send_control_command, server_events

pytestmark = pytest.mark.process

_WORK = {'request_id': 'req-1', 'sub_query': 's0', 'deadline_ms': 1000}
_SEARCH = {**_WORK, 'snapshot': 1, 'lo': 0, 'hi': 9, 'query': {}}
_EXECUTE = {**_WORK, 'key': 3, 'action': 'issue'}


class TestServerEvents:
    """Tests of control commands and of the events in the logs."""

    def test_executed_and_refused_work(self, rig: Rig) -> None:
        """Arrivals, executions and refusals are reported in order."""
        server = rig.start_module('raft-a', 'fennelfork_bench.backend')
        server.await_ready()
        address = server.ready['address']
        assert http.post(address, '/v1/search', _SEARCH).is_success
        assert http.post(address, '/v1/execute', _EXECUTE).is_success
        send_control_command(server, 'drain', {'draining': True})
        http.post(address, '/v1/search', _SEARCH)
        kinds = [type(event) for event in server_events(server)]
        assert kinds == [
            WorkReceived,
            QueryRan,
            WorkReceived,
            ExecuteRan,
            WorkReceived,
            WorkRefused,
        ]

    def test_command_to_killed_server(self, rig: Rig) -> None:
        """A command to a killed server is ignored; a bad command fails."""
        server = rig.start_module('raft-a', 'fennelfork_bench.backend')
        server.await_ready()
        with pytest.raises(RigError, match='raft-a refused snapshot'):
            send_control_command(
                server, 'snapshot', {'version': 2, 'ranges': [[5, 5]]}
            )
        server.kill()
        send_control_command(server, 'drain', {'draining': True})

    def test_unavailable_log(self, rig: Rig) -> None:
        """An unavailable log raises an error instead of yielding no events."""
        server = rig.start_module('raft-a', 'fennelfork_bench.backend')
        server.await_ready().kill()
        with pytest.raises(RigError, match='the log of raft-a is not complete'):
            tuple(server_events(server))
