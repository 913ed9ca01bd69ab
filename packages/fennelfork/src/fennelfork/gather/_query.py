"""Queries of callers and the answers to them."""

from collections.abc import Mapping
from typing import Any

import attrs

from fennelfork.gather._coverage import CompleteCoverage, PartialCoverage
from fennelfork.gather._merge import Answer

CoverageDemand = CompleteCoverage | PartialCoverage


@attrs.frozen(kw_only=True)
class QueryRequest:
    """Query of a caller.

    Attributes:
        request_id: id that the caller chose and all replies echo.
        front: name of the search front.
        deadline_at_ms: deadline on the clock of the daemon that received
            the request.
        tenant: tenant of the caller.
        traffic_class: configured traffic class of the request.
        query: query that is passed unchanged to the backend servers.
        demand: coverage that the caller demands.
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
    """Numbers of sub-queries and extra attempts of one answer."""

    sub_queries: int = 0
    hedges: int = 0
    retries: int = 0
    reruns: int = 0


@attrs.frozen(kw_only=True)
class QueryAnswer:
    """Answer of the root daemon to one query.

    Attributes:
        answer: records and coverage at one snapshot.
        config_version: active configuration version.
        work: numbers of sub-queries and extra attempts.
    """

    answer: Answer
    config_version: int
    work: Work
