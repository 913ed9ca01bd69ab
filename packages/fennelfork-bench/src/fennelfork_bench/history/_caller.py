"""Events that callers write: what they asked and what they got."""

import attrs

from fennelfork import Verdict
from fennelfork.gather import KeyRange
from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class RecordSeen:
    """One record of an answer.

    Attributes:
        key: the key of the record.
        stamp: digest of the whole record, which differs between snapshots.
    """

    key: int
    stamp: str


@attrs.frozen(kw_only=True)
class Asked(Event):
    """A caller is about to send a request.

    Attributes:
        attempt: names this one try; a retry has another.
        request_id: names the request; a retry has the same.
        caller: who asks.
        daemon: which daemon the request goes to.
        entry_until_ms: end of the time in which the caller may use its entry.
    """

    attempt: str
    request_id: str
    caller: str
    daemon: str
    entry_until_ms: float
    front: str


@attrs.frozen(kw_only=True)
class QueryAsked(Asked):
    """A query, with its body as canonical JSON.

    Attributes:
        whole: whether the caller takes nothing but full coverage.
        floor: the least fraction of the keys that the caller takes.
    """

    query: str
    whole: bool
    floor: float


@attrs.frozen(kw_only=True)
class ExecuteAsked(Asked):
    """A request that is not idempotent."""

    key: int
    action: str


@attrs.frozen(kw_only=True)
class Ended(Event):
    """How one try ended."""

    attempt: str


@attrs.frozen(kw_only=True)
class QueryAnswered(Ended):
    """An answer to a query.

    Attributes:
        reply_to: the request id that the answer names.
        missing: the ranges that the answer says it lacks.
        config_version: the configuration that the daemon says it used.
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
    """An answer to a request that is not idempotent."""

    reply_to: str
    key: int
    outcome: str
    config_version: int


@attrs.frozen(kw_only=True)
class Refused(Ended):
    """A problem document in place of an answer."""

    reply_to: str
    code: str
    verdict: Verdict


@attrs.frozen(kw_only=True)
class Malformed(Ended):
    """A whole reply that is neither an answer nor a problem document."""

    detail: str


@attrs.frozen(kw_only=True)
class ConnectionCut(Ended):
    """The connection was open and ended without a whole reply."""

    detail: str


@attrs.frozen(kw_only=True)
class ConnectRefused(Ended):
    """No connection could be opened; no byte was sent."""

    detail: str


# The concrete classes of this module, for reading and writing.
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
