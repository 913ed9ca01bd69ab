"""Log events about requests; see `_events`."""

from collections.abc import Mapping, Sequence
from typing import ClassVar

import attrs


@attrs.frozen(kw_only=True)
class RequestRefused:
    """A request was refused without any attempt.

    Attributes:
        request: ID of the request, none if the request was not parsed.
        fingerprint: hash of the content of the request, equal for all
            transmissions; none if the request was not parsed.
        code: failure code.
        reason: description of the failure.
        version: active version of the configuration, zero for none.
        workspace: name of the workspace, empty for none.
    """

    event: ClassVar[str] = 'request_refused'
    request: str | None
    fingerprint: str | None
    code: str
    reason: str
    version: int
    workspace: str


@attrs.frozen(kw_only=True)
class RequestAdmittedInStop:
    """A daemon that stops admitted a request.

    Attributes:
        request: ID of the request.
        route: name of the route.
        abort_in_ms: time until the daemon aborts the requests in progress.
        timeout_ms: time after which the request ends in any case.
        most_ms: latency that hardly any response of the route is above, none
            while unknown.
    """

    event: ClassVar[str] = 'request_admitted_in_stop'
    request: str
    route: str
    abort_in_ms: int
    timeout_ms: int
    most_ms: int | None


@attrs.frozen(kw_only=True)
class RequestEnded:
    """A request was answered or its caller disconnected.

    Attributes:
        request: ID of the request.
        fingerprint: hash of the content of the request, equal for all
            transmissions.
        route: name of the route.
        took_ms: time from reading the request to the answer.
        aim_ms: latency target of the route.
        answer_by_ms: time after which an answer misses the latency target,
            since the way to the caller and the lag of this process are left.
        left_ms: time left until the deadline of the request.
        usual_ms: latency baseline of the route for nearby servers.
        hedge_ms: current delay of a hedge.
        ending: reason for the end of the request.
        parts: number of responses and number of sub-requests, as `1/2`.
        hedges: number of attempts because a response was late.
        retries: number of attempts after a failure.
        answer: HTTP status of a forwarded response, `whole`, `partial`, or the
            code and verdict of a failure.
        version: version of the configuration with which the request was
            routed.
        sampled: whether the request finished as expected and is logged as a
            sample.
        write_delay_ms: longest time between the decision on an attempt and the
            write of its request.
        steps: events of the attempts, by service.
        workspace: name of the workspace, empty for none.
    """

    event: ClassVar[str] = 'request_ended'
    request: str
    fingerprint: str
    route: str
    took_ms: int
    aim_ms: float
    answer_by_ms: int
    left_ms: int
    usual_ms: int
    hedge_ms: int
    ending: str
    parts: str
    hedges: int
    retries: int
    answer: str
    version: int
    sampled: bool
    write_delay_ms: int
    steps: Mapping[str, Sequence[str]]
    workspace: str


@attrs.frozen(kw_only=True)
class RequestJudged:
    """The status of a suspected poison request changed.

    Attributes:
        fingerprint: hash of the content of the request.
        standing: new status; see `RequestStatus`.
        by: origin of the change: this daemon (`own`), `another` daemon or
            `operator`.
        rounds: number of isolated crashes.
        trials: number of trials since the start of the quarantine.
        ends: service and incarnation of each backend server that crashed.
    """

    event: ClassVar[str] = 'request_judged'
    fingerprint: str
    standing: str
    by: str
    rounds: int
    trials: int
    ends: Sequence[str]


@attrs.frozen(kw_only=True)
class QuotaReached:
    """A workspace is over its quota; its first refusal in a while.

    Attributes:
        workspace: name of the workspace.
    """

    event: ClassVar[str] = 'quota_reached'
    workspace: str


@attrs.frozen(kw_only=True)
class QuotaKept:
    """No request of a workspace has been refused for a while.

    Attributes:
        workspace: name of the workspace.
        refused: requests refused since the workspace went over its quota.
    """

    event: ClassVar[str] = 'quota_kept'
    workspace: str
    refused: int


@attrs.frozen(kw_only=True)
class LimitFell:
    """The concurrency limit of the services of a route decreased.

    Attributes:
        route: name of the route whose request was shed by servers or late.
        limit: new concurrency limit.
        under_way: number of requests in flight.
    """

    event: ClassVar[str] = 'limit_fell'
    route: str
    limit: int
    under_way: int
