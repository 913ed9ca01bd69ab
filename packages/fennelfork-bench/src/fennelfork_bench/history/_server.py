"""Events of backend servers: requests that arrive and run."""

import attrs

from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class ServerEvent(Event):
    """Base class of the events of one backend server."""

    server: str


@attrs.frozen(kw_only=True)
class DrainAsked(ServerEvent):
    """The server was asked to drain."""


@attrs.frozen(kw_only=True)
class Work(ServerEvent):
    """Base class of the events of one request on a server."""

    request_id: str
    sub_query: str


@attrs.frozen(kw_only=True)
class WorkReceived(Work):
    """A request arrived, regardless of its result."""


@attrs.frozen(kw_only=True)
class QueryRan(Work):
    """The server started to run a sub-query."""

    snapshot: int
    lo: int
    hi: int


@attrs.frozen(kw_only=True)
class ExecuteRan(Work):
    """The server started to run a non-idempotent request."""

    key: int
    action: str


@attrs.frozen(kw_only=True)
class WorkRefused(Work):
    """The server responded with a problem document, before or after a run."""

    code: str


@attrs.frozen(kw_only=True)
class ReplySpoiled(Work):
    """An injected fault affected the response to the request."""

    kind: str


@attrs.frozen(kw_only=True)
class WorkCancelled(Work):
    """The server cancelled a running request on demand."""


# Union of the concrete classes of this module, for serialisation.
AnyServerEvent = (
    DrainAsked
    | WorkReceived
    | QueryRan
    | ExecuteRan
    | WorkRefused
    | ReplySpoiled
    | WorkCancelled
)
