"""Events that callers record: requests and the results of requests."""

import attrs

from fennelfork import Verdict
from fennelfork.gather import KeyRange
from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class RecordSeen:
    """Key and digest of one record in an answer.

    Attributes:
        key: key of the record.
        stamp: digest of the complete record, different in each snapshot.
    """

    key: int
    stamp: str


@attrs.frozen(kw_only=True)
class Asked(Event):
    """A caller is about to send a request.

    Attributes:
        attempt: identifier of this attempt; a retry has a new identifier.
        request_id: identifier of the request, shared by all of its retries.
        caller: name of the caller.
        daemon: name of the daemon that receives the request.
        entry_until_ms: time at which the caller's entry for the daemon
            expires.
        front: name of the front that the request addresses.
    """

    attempt: str
    request_id: str
    caller: str
    daemon: str
    entry_until_ms: float
    front: str


@attrs.frozen(kw_only=True)
class QueryAsked(Asked):
    """A caller is about to send a query.

    Attributes:
        query: body of the query as canonical JSON.
        whole: whether the caller accepts only complete answers.
        floor: minimum fraction of the keys that the caller accepts.
    """

    query: str
    whole: bool
    floor: float


@attrs.frozen(kw_only=True)
class ExecuteAsked(Asked):
    """A caller is about to send a non-idempotent request."""

    key: int
    action: str


@attrs.frozen(kw_only=True)
class Ended(Event):
    """An attempt of a caller ended."""

    attempt: str


@attrs.frozen(kw_only=True)
class QueryAnswered(Ended):
    """The caller received an answer to a query.

    Attributes:
        reply_to: request id that the answer contains.
        missing: key ranges that the answer reports as missing.
        config_version: configuration version that the daemon reports.
    """

    reply_to: str
    snapshot: int
    records: tuple[RecordSeen, ...]
    complete: bool
    fraction: float
    missing: tuple[KeyRange, ...]
    config_version: int


@attrs.frozen(kw_only=True)
class ExecuteAnswered(Ended):
    """The caller received an answer to a non-idempotent request."""

    reply_to: str
    key: int
    outcome: str
    config_version: int


@attrs.frozen(kw_only=True)
class Refused(Ended):
    """The caller received a problem document instead of an answer."""

    reply_to: str
    code: str
    verdict: Verdict


@attrs.frozen(kw_only=True)
class Malformed(Ended):
    """A complete response is neither an answer nor a problem document."""

    detail: str


@attrs.frozen(kw_only=True)
class ConnectionCut(Ended):
    """An open connection closed before a complete response arrived."""

    detail: str


@attrs.frozen(kw_only=True)
class ConnectRefused(Ended):
    """The connection could not be opened, so no byte was sent."""

    detail: str


# Union of the concrete classes of this module, for serialisation.
AnyCallerEvent = (
    QueryAsked
    | ExecuteAsked
    | QueryAnswered
    | ExecuteAnswered
    | Refused
    | Malformed
    | ConnectionCut
    | ConnectRefused
)
