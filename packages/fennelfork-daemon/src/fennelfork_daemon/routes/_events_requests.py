"""Log lines on requests; see `_events`."""

from collections.abc import Mapping, Sequence
from typing import ClassVar

import attrs


@attrs.frozen(kw_only=True)
class RequestRefused:
    """A request was sent to no server.

    Attributes:
        request: its id, none if it could not be read.
        fingerprint: of what it asks, the same when it comes again.
        code: the kind of the failure.
        reason: its words.
        version: of the configuration in force, zero for none.
    """

    event: ClassVar[str] = 'request_refused'
    request: str | None
    fingerprint: str | None
    code: str
    reason: str
    version: int


@attrs.frozen(kw_only=True)
class RequestEnded:
    """A request was answered, or its caller left.

    Attributes:
        request: its id.
        fingerprint: of what it asks, the same when it comes again.
        route: its name.
        took_ms: from reading the request to its answer.
        aim_ms: in which the route wants it answered.
        left_ms: that its caller would still have waited.
        usual_ms: in which a server nearby usually answers this route.
        hedge_ms: after which a second copy is sent at present.
        ending: why it was not waited for any longer.
        parts: how many are in, of how many.
        hedges: copies sent because an answer was late.
        retries: copies sent after a failure.
        answer: what the caller got.
        version: of the configuration that it came under.
        sampled: whether it is told as a sample, although all went as usual.
        steps: by service, what was done.
    """

    event: ClassVar[str] = 'request_ended'
    request: str
    fingerprint: str
    route: str
    took_ms: int
    aim_ms: float
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
    steps: Mapping[str, Sequence[str]]


@attrs.frozen(kw_only=True)
class RequestJudged:
    """A request that ended servers is treated in another way from now on.

    Attributes:
        fingerprint: of the request.
        standing: see `RequestStatus`.
        by: who found it out, this daemon (`own`), `another` or `operator`.
        rounds: servers that it alone was risked on and that ended, apart in
            time.
        trials: sends since it is in quarantine.
        ends: the runs of servers that ended.
    """

    event: ClassVar[str] = 'request_judged'
    fingerprint: str
    standing: str
    by: str
    rounds: int
    trials: int
    ends: Sequence[str]


@attrs.frozen(kw_only=True)
class LimitFell:
    """Fewer requests to the services of a route are worked on at once.

    Attributes:
        route: whose request ended as servers turned it away, or late.
        limit: how many from now on.
        under_way: how many there are.
    """

    event: ClassVar[str] = 'limit_fell'
    route: str
    limit: int
    under_way: int
