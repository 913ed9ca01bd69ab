"""Builders of the server, the report and the task of a shard."""

from fennelfork import FailureCode, not_run
from fennelfork.config import Server
from fennelfork.gather import SnapshotView, key_range
from fennelfork.home import HomeScheduler, ServerReport, Task
from fennelfork.shares import Flow

SERVER = Server(
    address='127.0.0.1:1',
    data_centre='dc-1',
    slots=1,
    connections=1,
    connect_ms=1,
)
_SPAN = key_range(0, 10)
_SERVING = ServerReport(
    cold=False,
    draining=False,
    snapshots=(SnapshotView(version=1, ranges=(_SPAN,)),),
)
_TASK = Task(
    job='j1',
    request_id='r1',
    span=_SPAN,
    snapshot=1,
    deadline_ms=1000,
    flow=Flow(tenant='salvare', traffic_class='counter'),
)


def refuse_as_draining(home: HomeScheduler, server: str) -> None:
    """Let the only server of a shard refuse its first attempt."""
    home.servers.on_report(server, _SERVING)
    home.submit(_TASK)
    home.on_failure(1, not_run(FailureCode.DRAINING, 'draining'))
