"""One answer out of the parts of one query."""

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
    """A sub-query of a query: which shard, and what its reply must echo."""

    shard: str
    expected: ExpectedReply


@attrs.frozen(kw_only=True)
class Answer:
    """The merged answer of a query, at one snapshot."""

    snapshot: int
    records: tuple[Record, ...]
    coverage: Coverage


@attrs.define(kw_only=True)
class Merge:
    """Takes the parts of one query at one snapshot, each at most once.

    Attributes:
        whole: all keys of the front.
        snapshot: the one snapshot of all parts.
        plan: the sub-queries, by name.
        earlier: whether a round at another snapshot ran before.
    """

    full_range: KeyRange
    snapshot: int
    plan: dict[str, PlannedSubQuery]
    earlier_verdict: Verdict = Verdict.NOT_RUN
    _replies: dict[str, Reply] = attrs.field(factory=dict)
    _failures: dict[str, Failure] = attrs.field(factory=dict)

    @property
    def pending(self) -> tuple[PlannedSubQuery, ...]:
        """The sub-queries that are neither in nor failed."""
        settled = self._replies.keys() | self._failures.keys()
        return tuple(
            planned
            for name, planned in self.plan.items()
            if name not in settled
        )

    @property
    def reachable(self) -> tuple[KeyRange, ...]:
        """The ranges that are in or may still come."""
        return tuple(
            planned.expected.span
            for name, planned in self.plan.items()
            if name not in self._failures
        )

    @property
    def failures(self) -> tuple[Failure, ...]:
        """The failures of sub-queries that have no part."""
        return tuple(self._failures.values())

    @property
    def snapshot_gone(self) -> bool:
        """Whether a server lost the snapshot, so that a rerun may help."""
        return any(
            failure.code is FailureCode.SNAPSHOT_GONE
            for failure in self.failures
        )

    @property
    def verdict(self) -> Verdict:
        """Whether any part of the query ran."""
        verdicts = [failure.verdict for failure in self.failures]
        if self._replies:
            verdicts.append(Verdict.RAN)
        if self.pending:
            verdicts.append(Verdict.MAY_HAVE_RUN)
        return functools.reduce(Verdict.join, verdicts, self.earlier_verdict)

    def add_reply(self, reply: Reply) -> Result[Reply, Failure]:
        """Take one part, if it is whole, expected and not yet in.

        Returns:
            The reply, or `BAD_REPLY` that leaves the merge as it was.
        """
        planned = self.plan.get(reply.sub_query)
        if planned is None or reply.sub_query in self._replies:
            return Err(
                Failure(
                    code=FailureCode.BAD_REPLY,
                    verdict=Verdict.RAN,
                    detail=f'not awaited: sub-query {reply.sub_query}',
                ),
            )
        checked = check_reply(planned.expected, reply)
        if is_successful(checked):
            self._replies[reply.sub_query] = reply
            self._failures.pop(reply.sub_query, None)
        return checked

    def record_failure(self, sub_query: str, failure: Failure) -> None:
        """Note that a sub-query got no part; a part that is in stays in."""
        if sub_query in self.plan and sub_query not in self._replies:
            self._failures[sub_query] = failure

    def build_answer(self) -> Answer:
        """Merge what is in now, lowest key first."""
        parts = sorted(self._replies.values(), key=_part_start)
        return Answer(
            snapshot=self.snapshot,
            records=tuple(record for part in parts for record in part.records),
            coverage=coverage_of(
                self.full_range,
                [part.span for part in parts],
                self._missing(),
            ),
        )

    def _missing(self) -> list[MissingRange]:
        """Say why each sub-query without a part has none.

        One that is still pending when the answer leaves is out of time.
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
    """Plan the sub-queries of a query and await their parts.

    Args:
        request_id: of the caller's request.
        partition: the pinned map.
        whole: all keys of the front.
    """
    planned = [
        _plan_sub_query(request_id, partition.snapshot, asked)
        for asked in partition.assignments
    ]
    return Merge(
        full_range=full_range,
        snapshot=partition.snapshot,
        plan={part.expected.sub_query: part for part in planned},
    )


def _plan_sub_query(
    request_id: str,
    snapshot: int,
    asked: Assignment,
) -> PlannedSubQuery:
    """Name a sub-query so that a rerun at another snapshot differs."""
    span = asked.span
    expected = ExpectedReply(
        request_id=request_id,
        sub_query=f'{asked.shard}@{snapshot}:{span.lo}-{span.hi}',
        snapshot=snapshot,
        span=span,
    )
    return PlannedSubQuery(shard=asked.shard, expected=expected)


def _part_start(part: Reply) -> int:
    return part.span.lo
