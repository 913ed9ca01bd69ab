"""Fan-out of a query at one snapshot to the home daemons of its shards."""

import itertools
from collections.abc import Iterator
from typing import Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard, Clock, Failure, Verdict
from fennelfork.gather import (
    Merge,
    QueryRequest,
    ScatterOutcome,
    ScatterRequest,
    SubQueryOutcome,
    Work,
)
from fennelfork.home import HomeGroup, group_shards_by_home, homes_of
from fennelfork.membership import Member
from fennelfork.placement import PeerHealth
from fennelfork_daemon.home._client import HomeClient
from fennelfork_daemon.root._fan_out import (
    pending_for_group,
    pending_shards,
    probe_delay_ms,
    should_wait,
    trace_fallback,
)
from fennelfork_daemon.root._view_cache import ViewCache
from fennelfork_daemon.tracing._trace import RequestTrace

_MS: Final = 1000
# Timeout for the liveness probe of a home daemon.
_PROBE_TIMEOUT_MS: Final = 300
# Part of the deadline that is reserved for the reply message and the merge.
_MERGE_MARGIN_MS: Final = 4
_MAX_FAN_OUTS: Final = 3


@attrs.define(kw_only=True)
class RootScatter:
    """Sends sub-queries to home daemons, with fallback to other daemons.

    Attributes:
        trace: trace of the query.
        work: counts of sub-queries, hedges and retries so far.
    """

    trace: RequestTrace
    work: Work = attrs.field(factory=Work)
    _request: QueryRequest
    _query_text: str
    _blackboard: Blackboard
    _homes: HomeClient
    _health: PeerHealth
    _views: ViewCache
    _clock: Clock
    _level: float = 1
    _outcomes: eventlet.Queue = attrs.field(factory=eventlet.Queue)
    _in_flight: dict[int, HomeGroup] = attrs.field(factory=dict)
    _failed_groups: list[HomeGroup] = attrs.field(factory=list)
    # Shards whose sub-queries may still run on a home daemon that has not
    # replied.
    _may_have_run_shards: set[str] = attrs.field(factory=set)
    _scatter_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def remaining_ms(self) -> float:
        """Time until the deadline, in milliseconds."""
        return self._request.deadline_at_ms - self._clock.now_ms()

    def run(self, merge: Merge) -> None:
        """Fill `merge` until no sub-query is pending or the deadline passes."""
        self._send(merge, pending_shards(merge), frozenset())
        unresponsive: frozenset[str] = frozenset()
        fan_outs = 1
        demand = self._request.demand
        while should_wait(merge, demand, self.remaining_ms) and (
            self._in_flight or self._failed_groups
        ):
            self._receive_outcomes(merge, probe_delay_ms(self.remaining_ms))
            if not should_wait(merge, demand, self.remaining_ms):
                return
            failed = self._remove_failed_groups(merge)
            if failed and fan_outs < _MAX_FAN_OUTS:
                fan_outs += 1
                unresponsive |= homes_of(failed)
                shards = frozenset().union(*(group.shards for group in failed))
                self._send(merge, pending_shards(merge) & shards, unresponsive)

    def _send(
        self,
        merge: Merge,
        shards: frozenset[str],
        unresponsive: frozenset[str],
    ) -> None:
        """Send the pending sub-queries of some shards to home daemons."""
        groups = group_shards_by_home(
            self._blackboard,
            self._request.front,
            shards,
            unresponsive | self._health.avoided,
        )
        for group in groups:
            trace_fallback(self.trace, group, unresponsive)
            request = self._build_request(merge, group)
            scatter_number = next(self._scatter_numbers)
            self._in_flight[scatter_number] = group
            eventlet.spawn_n(
                self._send_to_home, scatter_number, group.home, request
            )
            self.work = attrs.evolve(
                self.work,
                sub_queries=self.work.sub_queries + len(request.planned),
            )

    def _remove_failed_groups(self, merge: Merge) -> list[HomeGroup]:
        """Remove and return the groups whose home daemon failed or is unresponsive.

        A responsive home daemon is never replaced, since a second one would
        assign the slots of the same servers again.
        """
        failed = self._failed_groups
        self._failed_groups = []
        awaited = pending_shards(merge)
        overdue = {
            scatter_number: group
            for scatter_number, group in self._in_flight.items()
            if group.shards & awaited
        }
        if not failed and overdue:
            pool = eventlet.GreenPool(len(overdue))
            for scatter_number in tuple(pool.imap(self._probe_home, overdue)):
                if scatter_number is not None:
                    failed.append(self._in_flight.pop(scatter_number))
                    self._may_have_run_shards |= failed[-1].shards
        return failed

    def _probe_home(self, scatter_number: int) -> int | None:
        home = self._in_flight[scatter_number].home
        timeout_ms = min(self.remaining_ms, _PROBE_TIMEOUT_MS)
        front = self._request.front
        return (
            None
            if self._homes.is_responsive(home, front, timeout_ms)
            else scatter_number
        )

    def _build_request(self, merge: Merge, group: HomeGroup) -> ScatterRequest:
        return ScatterRequest(
            request_id=self._request.request_id,
            front=self._request.front,
            snapshot=merge.snapshot,
            planned=pending_for_group(merge, group),
            query=self._query_text,
            deadline_ms=self.remaining_ms - _MERGE_MARGIN_MS,
            tenant=self._request.tenant,
            traffic_class=self._request.traffic_class,
            config_version=self._blackboard.config_version,
            level=self._level,
        )

    def _send_to_home(
        self, scatter_number: int, home: Member, request: ScatterRequest
    ) -> None:
        outcome = self._homes.scatter(home, request, self.remaining_ms)
        self._outcomes.put((scatter_number, outcome))

    def _receive_outcomes(self, merge: Merge, wait_ms: float) -> None:
        """Merge outcomes until the wait ends or no more are needed."""
        deadline_ms = self._clock.now_ms() + min(wait_ms, self.remaining_ms)
        while merge.pending and self._in_flight and not self._failed_groups:
            wait_ms = deadline_ms - self._clock.now_ms()
            if not should_wait(merge, self._request.demand, wait_ms):
                return
            try:
                scatter_number, outcome = self._outcomes.get(
                    timeout=wait_ms / _MS
                )
            except eventlet.queue.Empty:
                return
            group = self._in_flight.pop(scatter_number, None)
            if is_successful(outcome):
                self._apply_outcome(merge, outcome.unwrap())
            elif group is not None:
                self._record_failed_group(group, outcome.failure())

    def _record_failed_group(self, group: HomeGroup, failure: Failure) -> None:
        self._failed_groups.append(group)
        if failure.verdict is not Verdict.NOT_RUN:
            self._may_have_run_shards |= group.shards

    def _apply_outcome(self, merge: Merge, outcome: ScatterOutcome) -> None:
        self._views.update(self._request.front, outcome.shards)
        for part in outcome.parts:
            self._apply_part(merge, part)

    def _apply_part(self, merge: Merge, part: SubQueryOutcome) -> None:
        self.trace.record_outcome(part)
        self.work = attrs.evolve(
            self.work,
            hedges=self.work.hedges + part.hedges,
            retries=self.work.retries + part.retries,
        )
        if part.reply is not None:
            accepted = merge.add_reply(part.reply)
            accepted.alt(
                lambda failure: self._record_failure(merge, part, failure)
            )
        elif part.failure is not None:
            self._record_failure(merge, part, part.failure)

    def _record_failure(
        self, merge: Merge, part: SubQueryOutcome, failure: Failure
    ) -> None:
        verdict = failure.verdict
        if part.planned.shard in self._may_have_run_shards:
            verdict = verdict.join(Verdict.MAY_HAVE_RUN)
        sub_query = part.planned.expected.sub_query
        merge.record_failure(sub_query, failure.with_verdict(verdict))
