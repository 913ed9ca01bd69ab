"""Memory use of a home daemon when callers use many tenant names."""

from fennelfork.home._admission import Arrival, HomeAdmission, LoadEstimate
from fennelfork.shares import FairQueue, Flow, Shares

_FREE = LoadEstimate(
    slots=5, free_slots=5, queued_ahead=0, median_run_ms=5, remaining_ms=1000
)


def _flow(at: int) -> Flow:
    return Flow(tenant=f't{at}', traffic_class='counter')


class TestFairQueue:
    """Flows that the queue retains."""

    def test_removes_flows_when_empty(self) -> None:
        """An empty queue retains no flows."""
        queue = FairQueue(limit=10, shares=Shares())
        for at in range(1000):
            queue.push(f'j{at}', _flow(at), deadline_ms=at)
            queue.dequeue(f'j{at}')
        assert not queue._flows

    def test_keeps_turn_while_others_wait(self) -> None:
        """A flow that was served is ordered after one that still waits."""
        queue = FairQueue(limit=10, shares=Shares())
        for job in ('a1', 'a2'):
            queue.push(job, _flow(1), deadline_ms=1)
        queue.push('b1', _flow(2), deadline_ms=9)
        queue.dequeue('a1')
        assert next(queue.in_order()) == 'b1'


class TestHomeAdmission:
    """Rates that admission control retains."""

    def test_removes_idle_flows(self) -> None:
        """Rates of tenants with a single request are removed."""
        admission = HomeAdmission(shares=Shares())
        for at in range(5000):
            arrival = Arrival(flow=_flow(at), request_id=f'r{at}')
            admission.admit(arrival, _FREE, now_ms=10.0 * at)
        assert len(admission._arrivals) < 500
