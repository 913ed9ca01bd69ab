"""Bounded queue with weighted fair queueing and deadline order."""

from collections.abc import Iterator
from typing import Final

import attrs
from sortedcontainers import SortedList

from fennelfork.shares._fair import Flow, Shares

# Jobs of a flow that are considered if no server can run the first one.
_LOOK_AHEAD_JOBS: Final = 8


@attrs.frozen(kw_only=True, order=True)
class Entry:
    """Queued job; entries are ordered by deadline, then by arrival."""

    deadline_ms: float
    arrival: int
    job: str = attrs.field(order=False)
    flow: Flow = attrs.field(order=False)


@attrs.define(kw_only=True)
class _FlowQueue:
    """Queued jobs of one flow, and the virtual time of its next turn."""

    weight: float
    turn: float
    entries: SortedList = attrs.field(factory=SortedList)


@attrs.define(kw_only=True)
class FairQueue:
    """Jobs that wait for a slot, in weighted fair order.

    The flow with the earliest turn is served first. A dequeued job advances
    the turn of its flow by the inverse of the weight. An idle flow restarts
    at the current virtual time and gains no credit.

    Attributes:
        limit: maximum number of queued jobs.
        shares: weights of the flows.
    """

    limit: int
    shares: Shares
    _flows: dict[Flow, _FlowQueue] = attrs.field(factory=dict)
    _entries: dict[str, Entry] = attrs.field(factory=dict)
    _virtual_time: float = 0
    _arrivals: int = 0

    @property
    def jobs(self) -> tuple[str, ...]:
        """Names of the queued jobs, in order of arrival."""
        return tuple(self._entries)

    def __len__(self) -> int:
        """Return the number of queued jobs."""
        return len(self._entries)

    def __contains__(self, job: str) -> bool:
        """Return whether a job is queued."""
        return job in self._entries

    def push(self, job: str, flow: Flow, deadline_ms: float) -> str | None:
        """Add a job; if the queue is full, evict one.

        Returns:
            The evicted job, which may be the new one, or `None`. The evicted
            job is the last one of the flow with the most jobs per weight.
        """
        self._arrivals += 1
        entry = Entry(
            deadline_ms=deadline_ms,
            arrival=self._arrivals,
            job=job,
            flow=flow,
        )
        self._entries[job] = entry
        self._get_flow_queue(flow).entries.add(entry)
        if len(self) <= self.limit:
            return None
        longest = max(self._flows.values(), key=_relative_length_of)
        evicted: Entry = longest.entries[-1]
        self.remove(evicted.job)
        return evicted.job

    def dequeue(self, job: str) -> None:
        """Remove a job that gets a slot, and advance the turn of its flow."""
        flow_queue = self._flows[self._entries[job].flow]
        self._virtual_time = max(self._virtual_time, flow_queue.turn)
        flow_queue.turn += 1 / flow_queue.weight
        self.remove(job)

    def remove(self, job: str) -> None:
        """Remove a job if it is queued."""
        entry = self._entries.pop(job, None)
        if entry is None:
            return
        flow_queue = self._flows[entry.flow]
        flow_queue.entries.remove(entry)
        if not self._entries:
            self._reset_flows()
        elif not flow_queue.entries and flow_queue.turn <= self._virtual_time:
            self._flows.pop(entry.flow)

    def in_order(self) -> Iterator[str]:
        """Yield the first jobs of each flow, in the order of the turns."""
        turns = sorted(self._flows.values(), key=_turn_of)
        for flow_queue in turns:
            for entry in flow_queue.entries[:_LOOK_AHEAD_JOBS]:
                yield entry.job

    def estimate_ahead(self, flow: Flow, deadline_ms: float) -> float:
        """Estimate how many queued jobs are served before a new job.

        Args:
            flow: flow of the new job.
            deadline_ms: deadline of the new job.
        """
        waiting = [
            flow_queue
            for flow_queue in self._flows.values()
            if flow_queue.entries
        ]
        own_queue = self._flows.get(flow)
        probe = Entry(
            deadline_ms=deadline_ms,
            arrival=self._arrivals + 1,
            job='',
            flow=flow,
        )
        before = own_queue.entries.bisect_left(probe) if own_queue else 0
        own_weight = self.shares.flow_weight(flow)
        others = sum(
            min(
                len(other.entries),
                (before + 1) * other.weight / own_weight,
            )
            for other in waiting
            if other is not own_queue
        )
        return float(before + others)

    def _reset_flows(self) -> None:
        """Remove all flows when the queue is empty.

        Callers choose tenant names, so idle flows must not accumulate.
        """
        self._virtual_time = max(
            flow_queue.turn for flow_queue in self._flows.values()
        )
        self._flows.clear()

    def _get_flow_queue(self, flow: Flow) -> _FlowQueue:
        flow_queue = self._flows.get(flow)
        if flow_queue is None:
            flow_queue = _FlowQueue(
                weight=self.shares.flow_weight(flow), turn=self._virtual_time
            )
            self._flows[flow] = flow_queue
        elif not flow_queue.entries:
            flow_queue.turn = max(flow_queue.turn, self._virtual_time)
        return flow_queue


def _turn_of(flow_queue: _FlowQueue) -> float:
    return flow_queue.turn


def _relative_length_of(flow_queue: _FlowQueue) -> float:
    return len(flow_queue.entries) / flow_queue.weight
