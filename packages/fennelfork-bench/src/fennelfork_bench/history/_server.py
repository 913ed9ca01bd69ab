"""Events of backend servers: what reached them and what they ran."""

import attrs

from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class ServerEvent(Event):
    """Something that happened on one backend server."""

    server: str


@attrs.frozen(kw_only=True)
class DrainAsked(ServerEvent):
    """The server was told to leave."""


@attrs.frozen(kw_only=True)
class Work(ServerEvent):
    """Something about one request that reached the server."""

    request_id: str
    sub_query: str


@attrs.frozen(kw_only=True)
class WorkReceived(Work):
    """A request arrived, whatever came of it."""


@attrs.frozen(kw_only=True)
class QueryRan(Work):
    """The server began to run its part of a query."""

    snapshot: int
    lo: int
    hi: int


@attrs.frozen(kw_only=True)
class ExecuteRan(Work):
    """The server began to run a request that is not idempotent."""

    key: int
    action: str


@attrs.frozen(kw_only=True)
class WorkRefused(Work):
    """The server answered with a problem, before it ran or after."""

    code: str


@attrs.frozen(kw_only=True)
class ReplySpoiled(Work):
    """A fault met the reply: late, lost, crossed, cut or the like."""

    kind: str


@attrs.frozen(kw_only=True)
class WorkCancelled(Work):
    """The server ended a running request as it was asked to."""


# The concrete classes of this module, for reading and writing.
AnyServerEvent = (
    DrainAsked
    | WorkReceived
    | QueryRan
    | ExecuteRan
    | WorkRefused
    | ReplySpoiled
    | WorkCancelled
)
