"""Faults that tests inject into the stand-in."""

import enum
import random
from collections.abc import Iterable

import attrs

from fennelfork_bench.backend_server._log import Call


@enum.unique
class FaultKind(enum.Enum):
    """Kind of a fault that affects one request.

    STRAGGLE multiplies the service time by `factor`; LOSE_REPLY runs the
    request, then closes the connection; LATE delays the reply by `delay_ms`
    after the run; CROSS sends the reply to another request; TRUNCATE omits
    records but keeps their count; DOUBLE sends one record twice; CUT closes
    the connection in the middle of the body; MUTE runs the request and sends
    nothing more on the connection.
    """

    STRAGGLE = 'straggle'
    LOSE_REPLY = 'lose_reply'
    LATE = 'late'
    CROSS = 'cross'
    TRUNCATE = 'truncate'
    DOUBLE = 'double'
    CUT = 'cut'
    MUTE = 'mute'


@attrs.frozen(kw_only=True)
class FaultRule:
    """Selects the requests that a fault affects.

    Attributes:
        kind: kind of the fault.
        share: probability that the fault affects a matching request.
        limit: maximum number of affected requests; none for no limit.
        call: endpoint that the fault affects; none for all endpoints.
        delay_ms: delay of the reply for LATE.
        factor: multiplier of the service time for STRAGGLE.
    """

    kind: FaultKind
    share: float = 1
    limit: int | None = None
    call: Call | None = None
    delay_ms: float = 0
    factor: float = 10


@attrs.frozen(kw_only=True)
class HealthFault:
    """Errors in the responses of the health and load endpoints.

    Attributes:
        lag_ms: maximum age of the responses.
        state: reported state; none for the actual state.
        busy: reported number of busy slots; none for the actual number.
    """

    lag_ms: float = 0
    state: str | None = None
    busy: int | None = None


@attrs.frozen(kw_only=True)
class FaultCommand:
    """Command that replaces all active faults.

    Attributes:
        rules: faults that affect individual requests.
        freeze_ms: duration of a single freeze of the whole server.
        silence: whether the currently open connections drop all bytes.
        health: errors in the health and load responses.
    """

    rules: tuple[FaultRule, ...] = ()
    freeze_ms: float = 0
    silence: bool = False
    health: HealthFault = HealthFault()


@attrs.define(kw_only=True)
class FaultPlan:
    """Active fault rules and the number of requests that each affected."""

    _randomness: random.Random
    _rules: tuple[FaultRule, ...] = ()
    _match_counts: dict[FaultRule, int] = attrs.field(factory=dict)

    def replace_rules(self, rules: tuple[FaultRule, ...]) -> None:
        """Replace the active rules and reset their counts."""
        self._rules = rules
        self._match_counts = {}

    def draw_faults(self, call: Call) -> tuple[FaultRule, ...]:
        """Draw the faults that affect the next request to an endpoint."""
        return tuple(rule for rule in self._rules if self._matches(rule, call))

    def _matches(self, rule: FaultRule, call: Call) -> bool:
        if rule.call not in {None, call}:
            return False
        count = self._match_counts.get(rule, 0)
        if rule.limit is not None and count >= rule.limit:
            return False
        if self._randomness.random() >= rule.share:
            return False
        self._match_counts[rule] = count + 1
        return True


def fault_plan(randomness: random.Random) -> FaultPlan:
    """Build a fault plan without rules."""
    return FaultPlan(randomness=randomness)


def find_fault(
    faults: Iterable[FaultRule],
    kind: FaultKind,
) -> FaultRule | None:
    """Return the first fault of a kind, or none."""
    return next((rule for rule in faults if rule.kind is kind), None)
