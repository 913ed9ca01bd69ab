"""Simulated load of one daemon, and a second way to share its limit."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs
from core_builders_routes import route

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    Asker,
    ConcurrencyLimits,
    RefusalReason,
    Route,
    urgency_of,
)
from fennelfork.shares import FairQueue, Flow, Shares
from fennelfork.workspaces import Workspace

_MS: Final = 1000


@attrs.frozen(kw_only=True)
class Load:
    """Requests of callers of one workspace, at random times.

    Attributes:
        owner: name of the workspace if the name of the load is another one.
        repeats: number of requests that a refused caller sends at once.
    """

    name: str
    per_s: float
    usual_per_s: float
    priority: int = 0
    route_priority: int = 0
    repeats: int = 0
    owner: str = ''

    @property
    def route(self) -> Route:
        """Route of the requests."""
        return route(priority=self.route_priority)

    @property
    def workspace(self) -> Workspace:
        """Workspace with a rate of 1.6 times the usual."""
        return Workspace(
            name=self.owner or self.name,
            rate_per_s=1.6 * self.usual_per_s,
            priority=self.priority,
        )


@attrs.frozen(kw_only=True)
class _Request:
    load: Load
    caller: int
    left_ms: float
    is_counted: bool
    attempt: int = 0

    @property
    def name(self) -> str:
        """Id of the request."""
        return f'{self.caller}-{self.attempt}'


@attrs.define(kw_only=True)
class ShortQueue:
    """The other way: requests that exceed the limit wait in fair order.

    Equals a deficit round robin, as all requests cost the same.
    """

    _shares: Shares
    _queue: FairQueue = attrs.field(init=False)
    _jobs: dict[str, tuple[_Request, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the queue."""
        self._queue = FairQueue(limit=64, shares=self._shares)

    def push(
        self, request: _Request, now_ms: float, each_ms: float, target_ms: float
    ) -> list[_Request]:
        """Queue a request; return what is refused for it.

        Args:
            request: request that exceeds the limit.
            now_ms: current time.
            each_ms: time between two requests that leave the queue.
            target_ms: longest wait after which the answer is in time.
        """
        flow = Flow(tenant=request.load.name, traffic_class='')
        latest_ms = now_ms + target_ms
        if self._queue.estimate_ahead(flow, latest_ms) * each_ms > target_ms:
            return [request]
        self._jobs[request.name] = (request, now_ms)
        evicted = self._queue.push(request.name, flow, latest_ms)
        return [] if evicted is None else [self._jobs.pop(evicted)[0]]

    def pop(self) -> tuple[_Request, float] | None:
        """Remove the next request; return it and the time of its arrival."""
        name = next(self._queue.in_order(), None)
        if name is None:
            return None
        self._queue.dequeue(name)
        return self._jobs.pop(name)


@attrs.define(kw_only=True)
class Simulation:
    """Callers, the limits of one daemon, and six servers of three slots.

    A server runs a request for 90 ms; servers shed what exceeds their slots
    and as many waiting requests. Requests have 2 s and should take 0.7 s.
    """

    loads: list[Load]
    seed: int = 1
    shared: bool = True
    queue: ShortQueue | None = None
    slots: int = 18
    run_ms: float = 90
    daemons: int = 1
    deadline_ms: float = 2016
    target_ms: float = 701
    time: ManualTime = attrs.field(factory=ManualTime)
    owed: Counter[str] = attrs.field(factory=Counter)
    served: Counter[str] = attrs.field(factory=Counter)
    refused: Counter[Any] = attrs.field(factory=Counter)
    _busy: int = 0
    _waiting: list[Callable[[], None]] = attrs.field(factory=list)
    _events: list[Any] = attrs.field(factory=list)
    _number: Any = attrs.field(factory=itertools.count)
    _rng: random.Random = attrs.field(init=False)
    _fleet: list[ConcurrencyLimits] = attrs.field(init=False)
    _route: Route = attrs.field(init=False)

    def run(self, duration_ms: float) -> None:
        """Play the loads; count requests after the first second."""
        self._rng = random.Random(self.seed)
        self._fleet = [
            ConcurrencyLimits(clock=manual_clock(self.time))
            for _ in range(self.daemons)
        ]
        self._route = route(latency_target_ms=self.target_ms)
        for load in self.loads:
            self._schedule(0, self._start_load, load, duration_ms)
        while self._events:
            at_ms, _, handler, args = heapq.heappop(self._events)
            self.time.advance(max(0, at_ms - self.time.at_ms))
            handler(*args)

    def percent(self, *names: str) -> int:
        """Return how many of 100 requests were served in time."""
        owed = sum(self.owed[name] for name in names or self.owed)
        served = sum(self.served[name] for name in names or self.owed)
        return round(100 * served / owed)

    def _schedule(self, after_ms: float, handler: Any, *args: Any) -> None:
        event = (self.time.at_ms + after_ms, next(self._number), handler, args)
        heapq.heappush(self._events, event)

    def _start_load(self, load: Load, end_ms: float) -> None:
        if self.time.at_ms >= end_ms:
            return
        request = _Request(
            load=load,
            caller=next(self._number),
            left_ms=self.deadline_ms,
            is_counted=self.time.at_ms > _MS,
        )
        self.owed[load.name] += request.is_counted
        self._arrive(request)
        gap_ms = self._rng.expovariate(load.per_s / _MS)
        self._schedule(gap_ms, self._start_load, load, end_ms)

    def _limits_of(self, request: _Request) -> ConcurrencyLimits:
        """Return the limits of the daemon that has the request."""
        number = hash((request.caller, request.attempt)) % self.daemons
        return self._fleet[number]

    def _arrive(self, request: _Request) -> None:
        asker = self._asker(request)
        refusal = self._limits_of(request).admit(self._route, asker)
        if refusal is None:
            self._send(request, asker, self.time.at_ms)
        elif self.queue is not None and refusal is RefusalReason.LIMIT:
            self._enqueue(request)
        else:
            self._refuse(request, asker, refusal)

    def _asker(self, request: _Request) -> Asker | None:
        if not self.shared:
            return None
        return Asker(
            workspace=request.load.workspace,
            urgency=urgency_of(request.load.route, request.load.workspace),
            request_id=request.name,
            fingerprint=str(request.caller),
        )

    def _refuse(self, request: _Request, asker: Any, reason: Any) -> None:
        self.refused[reason] += 1
        wait_ms = self._limits_of(request).record_refusal(
            self._route,
            request.name,
            request.left_ms,
            asker,
        )
        load = request.load
        if request.attempt < max(1, load.repeats):
            wait_ms = 0 if load.repeats else min(wait_ms, request.left_ms / 3)
            again = attrs.evolve(
                request,
                attempt=request.attempt + 1,
                left_ms=request.left_ms - wait_ms,
            )
            self._schedule(wait_ms, self._arrive, again)

    def _send(self, request: _Request, asker: Any, since_ms: float) -> None:
        if self._busy < self.slots:
            self._run(request, asker, since_ms)
        elif len(self._waiting) < self.slots:
            self._waiting.append(lambda: self._run(request, asker, since_ms))
        else:
            limit = self._limits_of(request).for_route(self._route)
            limit.record_overload(self.time.at_ms)
            self._end(request, asker, since_ms, served=False)

    def _run(self, request: _Request, asker: Any, since_ms: float) -> None:
        self._busy += 1
        run_ms = self.run_ms * self._rng.uniform(0.5, 1.5)
        self._schedule(run_ms, self._finish, request, asker, since_ms)

    def _finish(self, request: _Request, asker: Any, since_ms: float) -> None:
        self._busy -= 1
        if self._waiting:
            self._waiting.pop(0)()
        self._end(request, asker, since_ms, served=True)

    def _end(
        self, request: _Request, asker: Any, since_ms: float, *, served: bool
    ) -> None:
        limits = self._limits_of(request)
        limit = limits.for_route(self._route)
        took_ms = self.time.at_ms - since_ms
        limit.record_end(took_ms, self.time.at_ms, served=served)
        in_time = served and took_ms <= self.target_ms
        if in_time:
            limit.record_success(self.time.at_ms)
            self.served[request.load.name] += request.is_counted
        limits.release(self._route)
        if self.queue is not None:
            self._admit_queued()

    def _enqueue(self, request: _Request) -> None:
        assert self.queue is not None
        limit = self._fleet[0].for_route(self._route).shared
        late = self.queue.push(
            request,
            self.time.at_ms,
            limit.held_ms / limit.slots,
            self.target_ms - limit.held_ms,
        )
        for refused in late:
            self._refuse(refused, self._asker(refused), 'queue')

    def _admit_queued(self) -> None:
        assert self.queue is not None
        limit = self._fleet[0].for_route(self._route)
        while limit.has_capacity(urgency_of(self._route, None)):
            found = self.queue.pop()
            if found is None:
                return
            self._fleet[0].admit(self._route, None)
            self._send(found[0], None, found[1])


def shares_of(loads: list[Load]) -> Shares:
    """Return the weights of the workspaces of loads."""
    return Shares(
        tenants={load.name: load.workspace.rate_per_s for load in loads}
    )
