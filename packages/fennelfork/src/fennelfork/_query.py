"""What a caller asks of a front, and the answer it gets."""

import functools
from collections.abc import Mapping
from typing import Any, Final

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict

Record = Mapping[str, Any]

_RETRY_PARTIAL_MS: Final = 1000


@attrs.frozen(kw_only=True)
class WholeOrRefused:
    """The caller takes a complete answer or none."""


@attrs.frozen(kw_only=True)
class PartialAllowed:
    """The caller takes a partial answer, flagged as such.

    Attributes:
        floor: the least share of the keys, 0 to 1, that is of use to it.
    """

    floor: float


CoverageDemand = WholeOrRefused | PartialAllowed


@attrs.frozen(kw_only=True)
class QueryRequest:
    """One query of one caller.

    Attributes:
        request_id: chosen by the caller, echoed by every party.
        front: the search front.
        deadline_at_ms: when the answer is of no use any more, by the clock
            of the daemon that received the request.
        tenant: who asks.
        traffic_class: what kind of work it is, as configured.
        query: what to look for, passed on to the backend servers unread.
        demand: how much coverage the caller needs.
    """

    request_id: str
    front: str
    deadline_at_ms: float
    tenant: str
    traffic_class: str
    query: Mapping[str, Any]
    demand: CoverageDemand


@attrs.frozen(kw_only=True)
class Work:
    """What was done for one answer, counted over its sub-queries."""

    sub_queries: int = 0
    hedges: int = 0
    retries: int = 0
    reruns: int = 0

    def plus(self, other: 'Work') -> 'Work':
        """Add the counts of another share of the work."""
        return Work(
            sub_queries=self.sub_queries + other.sub_queries,
            hedges=self.hedges + other.hedges,
            retries=self.retries + other.retries,
            reruns=self.reruns + other.reruns,
        )


@functools.singledispatch
def refusal_of_coverage(
    demand: CoverageDemand,
    fraction: float,
) -> Failure | None:
    """Tell whether a partial answer must be refused instead.

    Args:
        demand: what the caller asked for.
        fraction: the share of the keys that the answer covers, below 1.

    Returns:
        The failure to answer with, or none if the partial answer may go out.
        The verdict is `RAN`: parts of the query did run.
    """
    raise TypeError(f'no demand of coverage: {demand!r}')


@refusal_of_coverage.register
def _refuse_partial(demand: WholeOrRefused, fraction: float) -> Failure:
    return _partial(f'only {fraction:.4f} of the keys answered in time')


@refusal_of_coverage.register
def _refuse_below_floor(
    demand: PartialAllowed,
    fraction: float,
) -> Failure | None:
    if fraction >= demand.floor:
        return None
    return _partial(
        f'only {fraction:.4f} of the keys answered in time, '
        f'the floor is {demand.floor}',
    )


def _partial(detail: str) -> Failure:
    return Failure(
        code=FailureCode.PARTIAL,
        verdict=Verdict.RAN,
        detail=detail,
        retry_after_ms=_RETRY_PARTIAL_MS,
    )
