"""Messages of the backend protocol."""

import attrs

from fennelfork_bench.backend_server._records import Query, Record


@attrs.frozen(kw_only=True)
class SearchRequest:
    """Sub-query that is sent to one server."""

    request_id: str
    sub_query: str
    snapshot: int
    lo: int
    hi: int
    query: Query
    deadline_ms: float


@attrs.frozen(kw_only=True)
class SearchReply:
    """Matching records of a key range at a snapshot."""

    request_id: str
    sub_query: str
    snapshot: int
    lo: int
    hi: int
    count: int
    records: tuple[Record, ...]


@attrs.frozen(kw_only=True)
class MultiSearchRequest:
    """Several searches in one HTTP request."""

    searches: tuple[SearchRequest, ...]


@attrs.frozen(kw_only=True)
class MultiSearchReply:
    """Replies to several searches, in the order of the searches."""

    replies: 'tuple[SearchReply | Problem, ...]'


@attrs.frozen(kw_only=True)
class ExecuteRequest:
    """Request that must run at most once.

    Attributes:
        not_after_ms: time of the server's clock, as reported by its health
            endpoint, from which the request must not start.
    """

    request_id: str
    sub_query: str
    key: int
    action: str
    deadline_ms: float
    not_after_ms: float | None = None

    def remaining_ms(self, now_ms: float) -> float:
        """Return the remaining time, zero after `not_after_ms`."""
        if self.not_after_ms is not None and now_ms >= self.not_after_ms:
            return 0
        return self.deadline_ms


@attrs.frozen(kw_only=True)
class ExecuteReply:
    """Outcome of a non-idempotent request."""

    request_id: str
    sub_query: str
    key: int
    outcome: str


@attrs.frozen(kw_only=True)
class CancelRequest:
    """Request to cancel a running request."""

    request_id: str
    sub_query: str


@attrs.frozen(kw_only=True)
class CancelReply:
    """Reply whether a running request was cancelled."""

    request_id: str
    sub_query: str
    cancelled: bool


@attrs.frozen(kw_only=True)
class HeldSnapshot:
    """Key ranges that a server holds at one snapshot."""

    version: int
    ranges: tuple[tuple[int, int], ...]


@attrs.frozen(kw_only=True)
class Health:
    """Reported health of a server; `now_ms` is the time of its clock."""

    state: str
    snapshots: tuple[HeldSnapshot, ...]
    slots: int
    busy: int
    now_ms: float
    capabilities: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Load:
    """Reported load of a server."""

    slots: int
    busy: int
    connections: int


@attrs.frozen(kw_only=True)
class Problem:
    """Problem document (RFC 9457) with the verdict on the request."""

    title: str
    status: int
    detail: str
    code: str
    verdict: str
    request_id: str = ''
    sub_query: str = ''
    retry_after_ms: int | None = None
    snapshots: tuple[HeldSnapshot, ...] = ()
