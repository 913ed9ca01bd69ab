"""What a caller asks of a front, and the answer it gets."""

from collections.abc import Mapping
from typing import Any

import attrs

from fennelfork.gather._coverage import CompleteCoverage, PartialCoverage
from fennelfork.gather._merge import Answer

CoverageDemand = CompleteCoverage | PartialCoverage


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


@attrs.frozen(kw_only=True)
class QueryAnswer:
    """What the root gives back for one query.

    Attributes:
        answer: records and coverage at one snapshot.
        config_version: the configuration that it was made under.
        work: what was done for it.
    """

    answer: Answer
    config_version: int
    work: Work
