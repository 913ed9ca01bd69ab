"""Memory of a home under callers that invent tenants."""

from fennelfork.home import Flow, Shares
from fennelfork.home._admission import Arrival, HomeAdmission, LoadEstimate
from fennelfork.home._queue import FairQueue

_FREE = LoadEstimate(
    slots=5, free_slots=5, queued_ahead=0, median_run_ms=5, remaining_ms=1000
)


def _flow(at: int) -> Flow:
    return Flow(tenant=f't{at}', traffic_class='counter')


class TestFairQueue:
    """Flows of the queue."""

    def test_forgets_flows_once_it_is_empty(self) -> None:
        """When nothing waits, no flow is remembered, however many came."""
        queue = FairQueue(limit=10, shares=Shares())
        for at in range(1000):
            queue.push(f'j{at}', _flow(at), deadline_ms=at)
            queue.dequeue(f'j{at}')
        assert not queue._flows

    def test_a_debt_lasts_while_others_wait(self) -> None:
        """A flow that had its turn stays behind one that still waits."""
        queue = FairQueue(limit=10, shares=Shares())
        for job in ('a1', 'a2'):
            queue.push(job, _flow(1), deadline_ms=1)
        queue.push('b1', _flow(2), deadline_ms=9)
        queue.dequeue('a1')
        assert next(queue.in_order()) == 'b1'


class TestHomeAdmission:
    """Rates of flows."""

    def test_forgets_flows_that_went_away(self) -> None:
        """Tenants that each ask once do not stay in memory."""
        admission = HomeAdmission(shares=Shares())
        for at in range(5000):
            arrival = Arrival(flow=_flow(at), request_id=f'r{at}')
            admission.admit(arrival, _FREE, now_ms=10.0 * at)
        assert len(admission._arrivals) < 500
