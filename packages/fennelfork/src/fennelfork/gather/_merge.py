"""Merging of the replies to the sub-queries of one query."""

import functools

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.gather._coverage import Coverage, MissingRange, coverage_of
from fennelfork.gather._partition import Assignment, PartitionMap
from fennelfork.gather._range import KeyRange
from fennelfork.gather._reply import ExpectedReply, Record, Reply, check_reply


@attrs.frozen(kw_only=True)
class PlannedSubQuery:
    """Sub-query for one shard, with the fields that its reply must echo."""

    shard: str
    expected: ExpectedReply


@attrs.frozen(kw_only=True)
class Answer:
    """Merged answer of a query at one snapshot."""

    snapshot: int
    records: tuple[Record, ...]
    coverage: Coverage


@attrs.define(kw_only=True)
class Merge:
    """Replies and failures of the sub-queries of one query.

    Attributes:
        full_range: all keys of the front.
        snapshot: snapshot that all sub-queries read.
        plan: planned sub-queries, by name.
        earlier_verdict: verdict of a previous round at another snapshot.
    """

    full_range: KeyRange
    snapshot: int
    plan: dict[str, PlannedSubQuery]
    earlier_verdict: Verdict = Verdict.NOT_RUN
    _replies: dict[str, Reply] = attrs.field(factory=dict)
    _failures: dict[str, Failure] = attrs.field(factory=dict)

    @property
    def pending(self) -> tuple[PlannedSubQuery, ...]:
        """Sub-queries that have neither a reply nor a failure."""
        settled = self._replies.keys() | self._failures.keys()
        return tuple(
            planned
            for name, planned in self.plan.items()
            if name not in settled
        )

    @property
    def reachable(self) -> tuple[KeyRange, ...]:
        """Ranges of the sub-queries that have not failed."""
        return tuple(
            planned.expected.span
            for name, planned in self.plan.items()
            if name not in self._failures
        )

    @property
    def failures(self) -> tuple[Failure, ...]:
        """Failures of the sub-queries that have no reply."""
        return tuple(self._failures.values())

    @property
    def snapshot_gone(self) -> bool:
        """Whether a sub-query failed because its snapshot was removed."""
        return any(
            failure.code is FailureCode.SNAPSHOT_GONE
            for failure in self.failures
        )

    @property
    def verdict(self) -> Verdict:
        """Verdict on all sub-queries and the previous round."""
        verdicts = [failure.verdict for failure in self.failures]
        if self._replies:
            verdicts.append(Verdict.RAN)
        if self.pending:
            verdicts.append(Verdict.MAY_HAVE_RUN)
        return functools.reduce(Verdict.join, verdicts, self.earlier_verdict)

    def add_reply(self, reply: Reply) -> Result[Reply, Failure]:
        """Add a reply that is valid, expected and not a duplicate.

        Returns:
            The reply, or a `BAD_REPLY` failure that leaves the merge unchanged.
        """
        planned = self.plan.get(reply.sub_query)
        if planned is None or reply.sub_query in self._replies:
            return Err(
                Failure(
                    code=FailureCode.BAD_REPLY,
                    verdict=Verdict.RAN,
                    detail=f'unexpected sub-query {reply.sub_query}',
                ),
            )
        checked = check_reply(planned.expected, reply)
        if is_successful(checked):
            self._replies[reply.sub_query] = reply
            self._failures.pop(reply.sub_query, None)
        return checked

    def record_failure(self, sub_query: str, failure: Failure) -> None:
        """Record the failure of a sub-query that has no reply."""
        if sub_query in self.plan and sub_query not in self._replies:
            self._failures[sub_query] = failure

    def build_answer(self) -> Answer:
        """Merge the replies received so far, in key order."""
        parts = sorted(self._replies.values(), key=_part_start)
        return Answer(
            snapshot=self.snapshot,
            records=tuple(record for part in parts for record in part.records),
            coverage=coverage_of(
                self.full_range,
                [part.span for part in parts],
                self._list_missing(),
            ),
        )

    def _list_missing(self) -> list[MissingRange]:
        """Return the range and the reason of each sub-query without a reply.

        The reason of pending sub-queries is `DEADLINE`.
        """
        missing = [
            MissingRange(
                span=self.plan[name].expected.span,
                reason=failure.code,
            )
            for name, failure in self._failures.items()
        ]
        missing.extend(
            MissingRange(
                span=planned.expected.span,
                reason=FailureCode.DEADLINE,
            )
            for planned in self.pending
        )
        return missing


def plan_merge(
    request_id: str,
    partition: PartitionMap,
    full_range: KeyRange,
) -> Merge:
    """Create the merge of a query from a pinned partition map.

    Args:
        request_id: id of the request of the caller.
        partition: pinned partition map.
        full_range: all keys of the front.
    """
    planned = [
        _plan_sub_query(request_id, partition.snapshot, assignment)
        for assignment in partition.assignments
    ]
    return Merge(
        full_range=full_range,
        snapshot=partition.snapshot,
        plan={part.expected.sub_query: part for part in planned},
    )


def _plan_sub_query(
    request_id: str,
    snapshot: int,
    assignment: Assignment,
) -> PlannedSubQuery:
    """Plan a sub-query whose name is unique to its snapshot and range."""
    span = assignment.span
    expected = ExpectedReply(
        request_id=request_id,
        sub_query=f'{assignment.shard}@{snapshot}:{span.lo}-{span.hi}',
        snapshot=snapshot,
        span=span,
    )
    return PlannedSubQuery(shard=assignment.shard, expected=expected)


def _part_start(part: Reply) -> int:
    return part.span.lo
