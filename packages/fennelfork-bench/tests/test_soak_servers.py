"""Logs of the backend stand-ins become events."""

import pytest

from fennelfork_bench.history._server import (
    ExecuteRan,
    QueryRan,
    WorkReceived,
    WorkRefused,
)
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig, RigError
from fennelfork_bench.soak._servers import order, server_events

pytestmark = pytest.mark.process

_WORK = {'request_id': 'req-1', 'sub_query': 's0', 'deadline_ms': 1000}
_SEARCH = {**_WORK, 'snapshot': 1, 'lo': 0, 'hi': 9, 'query': {}}
_EXECUTE = {**_WORK, 'key': 3, 'action': 'issue'}


class TestServerEvents:
    """What a stand-in did can be read as events."""

    def test_run_and_refused(self, rig: Rig) -> None:
        """Runs, arrivals and refusals come in their order."""
        server = rig.start_module('raft-a', 'fennelfork_bench.backend')
        server.await_ready()
        address = server.ready['address']
        assert http.post(address, '/v1/search', _SEARCH).fine
        assert http.post(address, '/v1/execute', _EXECUTE).fine
        order(server, 'drain', {'draining': True})
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

    def test_order_to_the_dead(self, rig: Rig) -> None:
        """An order to a killed server is no error; a bad order is."""
        server = rig.start_module('raft-a', 'fennelfork_bench.backend')
        server.await_ready()
        with pytest.raises(RigError, match='raft-a refused snapshot'):
            order(server, 'snapshot', {'version': 2, 'ranges': [[5, 5]]})
        server.kill()
        order(server, 'drain', {'draining': True})

    def test_no_log(self, rig: Rig) -> None:
        """A log that can't be read is an error, not an empty history."""
        server = rig.start_module('raft-a', 'fennelfork_bench.backend')
        server.await_ready().kill()
        with pytest.raises(RigError, match='no whole log of raft-a'):
            tuple(server_events(server))
