"""One round of a query: all sub-queries at one snapshot, to their homes."""

import functools
from typing import Final

import attrs
import eventlet

from fennelfork import (
    Blackboard,
    Clock,
    Failure,
    HomeGroup,
    Member,
    Merge,
    Part,
    PeerHealth,
    Planned,
    QueryRequest,
    ScatterOrder,
    ScatterOutcome,
    Work,
    homes_of,
    route_homes,
)
from fennelfork_daemon._home_calls import HomeCalls
from fennelfork_daemon._trace import RequestTrace
from fennelfork_daemon._view_cache import ViewCache

_MS: Final = 1000
# How long a home may be silent before another one is asked as well.
_PATIENCE_SHARE: Final = 0.4
_LONGEST_PATIENCE_MS: Final = 500
# What a home leaves of the deadline for its message and the merge.
_MERGE_MARGIN_MS: Final = 4
_MOST_WAVES: Final = 3


@attrs.define(kw_only=True)
class RootScatter:
    """Sends sub-queries to homes, and to the next homes on silence.

    Attributes:
        trace: takes notes of what is done.
        work: what was done for the answer so far.
    """

    trace: RequestTrace
    work: Work = attrs.field(factory=Work)
    _request: QueryRequest
    _query_text: str
    _board: Blackboard
    _calls: HomeCalls
    _health: PeerHealth
    _views: ViewCache
    _clock: Clock
    _arrivals: eventlet.Queue = attrs.field(factory=eventlet.Queue)
    _waiting: int = 0

    @property
    def left_ms(self) -> float:
        """What remains of the deadline."""
        return self._request.deadline_at_ms - self._clock.now_ms()

    def run(self, merge: Merge) -> None:
        """Fill `merge` until nothing is pending or no time is left."""
        silent: frozenset[str] = frozenset()
        for _ in range(_MOST_WAVES):
            if not merge.pending or self.left_ms <= _MERGE_MARGIN_MS:
                return
            asked = self._send_wave(merge, silent)
            silent |= asked
            self._collect(merge, self._patience_ms())
        self._collect(merge, self.left_ms)

    def _patience_ms(self) -> float:
        return min(self.left_ms * _PATIENCE_SHARE, _LONGEST_PATIENCE_MS)

    def _send_wave(
        self,
        merge: Merge,
        silent: frozenset[str],
    ) -> frozenset[str]:
        pending = merge.pending
        groups = route_homes(
            self._board,
            self._request.front,
            {planned.shard for planned in pending},
            silent | self._health.avoided,
        )
        for group in groups:
            self._note_group(group, silent)
            self._waiting += 1
            order = self._order(merge, group)
            eventlet.spawn_n(self._ask, group.home, order)
        self.work = attrs.evolve(
            self.work,
            sub_queries=self.work.sub_queries + len(pending),
        )
        return homes_of(groups)

    def _note_group(self, group: HomeGroup, silent: frozenset[str]) -> None:
        if silent:
            self.trace.note(
                'asked the next home',
                home=group.home.name,
                shards=sorted(group.shards),
                silent=sorted(silent),
            )

    def _order(self, merge: Merge, group: HomeGroup) -> ScatterOrder:
        return ScatterOrder(
            request_id=self._request.request_id,
            front=self._request.front,
            snapshot=merge.snapshot,
            planned=_of_group(merge, group),
            query=self._query_text,
            deadline_ms=self.left_ms - _MERGE_MARGIN_MS,
            tenant=self._request.tenant,
            traffic_class=self._request.traffic_class,
            config_version=self._board.config_version,
        )

    def _ask(self, home: Member, order: ScatterOrder) -> None:
        outcome = self._calls.scatter(home, order, self.left_ms)
        self._arrivals.put(outcome)

    def _collect(self, merge: Merge, wait_ms: float) -> None:
        """Take what arrives until nothing is pending or the wait is over."""
        until_ms = self._clock.now_ms() + wait_ms
        while merge.pending and self._waiting:
            wait_s = (until_ms - self._clock.now_ms()) / _MS
            if wait_s <= 0:
                return
            try:
                outcome = self._arrivals.get(timeout=wait_s)
            except eventlet.queue.Empty:
                return
            self._waiting -= 1
            # A home that gave no reply leaves its sub-queries pending: the
            # next wave asks another one.
            outcome.map(functools.partial(self._take_outcome, merge))

    def _take_outcome(self, merge: Merge, outcome: ScatterOutcome) -> None:
        self._views.learn(self._request.front, outcome.shards)
        for part in outcome.parts:
            self._take_part(merge, part)

    def _take_part(self, merge: Merge, part: Part) -> None:
        self.trace.part(part)
        self.work = attrs.evolve(
            self.work,
            hedges=self.work.hedges + part.hedges,
            retries=self.work.retries + part.retries,
        )
        if part.reply is not None:
            accepted = merge.accept(part.reply)
            accepted.alt(lambda failure: _fail(merge, part, failure))
        elif part.failure is not None:
            _fail(merge, part, part.failure)


def _of_group(merge: Merge, group: HomeGroup) -> tuple[Planned, ...]:
    return tuple(
        planned for planned in merge.pending if planned.shard in group.shards
    )


def _fail(merge: Merge, part: Part, failure: Failure) -> None:
    merge.fail(part.planned.expected.sub_query, failure)
