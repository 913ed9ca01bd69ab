"""Requests and replies of the backend protocol, as typed messages."""

import attrs

from fennelfork_bench.backend_server._records import Query, Record


@attrs.frozen(kw_only=True)
class SearchRequest:
    """The part of a query that goes to one server."""

    request_id: str
    sub_query: str
    snapshot: int
    lo: int
    hi: int
    query: Query
    deadline_ms: float


@attrs.frozen(kw_only=True)
class SearchReply:
    """The records of a range at a snapshot."""

    request_id: str
    sub_query: str
    snapshot: int
    lo: int
    hi: int
    count: int
    records: tuple[Record, ...]


@attrs.frozen(kw_only=True)
class MultiSearchRequest:
    """Several searches in one call."""

    searches: tuple[SearchRequest, ...]


@attrs.frozen(kw_only=True)
class MultiSearchReply:
    """The replies to several searches, in the order of the searches."""

    replies: 'tuple[SearchReply | Problem, ...]'


@attrs.frozen(kw_only=True)
class ExecuteRequest:
    """A request that must run at most once.

    Attributes:
        not_after_ms: reading of the server's own clock, as told by its health
            endpoint, from which on the request must not start.
    """

    request_id: str
    sub_query: str
    key: int
    action: str
    deadline_ms: float
    not_after_ms: float | None = None

    def left_ms(self, now_ms: float) -> float:
        """Give what is left of the deadline, zero if it came too late."""
        if self.not_after_ms is not None and now_ms >= self.not_after_ms:
            return 0
        return self.deadline_ms


@attrs.frozen(kw_only=True)
class ExecuteReply:
    """What a non-idempotent request did."""

    request_id: str
    sub_query: str
    key: int
    outcome: str


@attrs.frozen(kw_only=True)
class CancelRequest:
    """Names the request that nobody waits for any more."""

    request_id: str
    sub_query: str


@attrs.frozen(kw_only=True)
class CancelReply:
    """Whether a running request was ended."""

    request_id: str
    sub_query: str
    cancelled: bool


@attrs.frozen(kw_only=True)
class HeldSnapshot:
    """The ranges that a server holds at one snapshot."""

    version: int
    ranges: tuple[tuple[int, int], ...]


@attrs.frozen(kw_only=True)
class Health:
    """What a server says of itself; `now_ms` is a reading of its clock."""

    state: str
    snapshots: tuple[HeldSnapshot, ...]
    slots: int
    busy: int
    now_ms: float
    capabilities: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Load:
    """How busy a server says it is."""

    slots: int
    busy: int
    connections: int


@attrs.frozen(kw_only=True)
class Problem:
    """An error body after RFC 9457, with what is known of the run."""

    title: str
    status: int
    detail: str
    code: str
    verdict: str
    request_id: str = ''
    sub_query: str = ''
    retry_after_ms: int | None = None
    snapshots: tuple[HeldSnapshot, ...] = ()
