"""Faults of the stand-in that a test switches on."""

import enum
import random
from collections.abc import Iterable

import attrs

from fennelfork_bench.backend_server._log import Call


@enum.unique
class FaultKind(enum.Enum):
    """What goes wrong with one request.

    STRAGGLE runs `factor` times as long; LOSE_REPLY runs, then closes the
    connection; LATE holds the reply back for `delay_ms` after the run; CROSS
    answers with the reply to another request; TRUNCATE leaves out records but
    not their count; DOUBLE sends one record twice; CUT closes in the middle of
    the body; MUTE runs and never answers on that connection again.
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
    """Which requests a fault meets.

    Attributes:
        kind: what goes wrong.
        share: probability that it meets a request.
        limit: after how many requests it stops; none goes on for ever.
        call: only this call; none for every call.
        delay_ms: for LATE, how long the reply is held back.
        factor: for STRAGGLE, how many times longer it runs.
    """

    kind: FaultKind
    share: float = 1
    limit: int | None = None
    call: Call | None = None
    delay_ms: float = 0
    factor: float = 10


@attrs.frozen(kw_only=True)
class HealthFault:
    """How the health and load endpoints mislead.

    Attributes:
        lag_ms: how old their answers may be.
        state: the state they tell instead of the true one.
        busy: the count of busy slots they tell instead of the true one.
    """

    lag_ms: float = 0
    state: str | None = None
    busy: int | None = None


@attrs.frozen(kw_only=True)
class FaultOrder:
    """The faults from now on; what it does not name is switched off.

    Attributes:
        rules: faults that meet single requests.
        freeze_ms: the whole server stands still for this long, once.
        silence: connections open now never carry a byte again.
        health: how health and load mislead.
    """

    rules: tuple[FaultRule, ...] = ()
    freeze_ms: float = 0
    silence: bool = False
    health: HealthFault = HealthFault()


@attrs.define(kw_only=True)
class FaultPlan:
    """The faults in force, which draws those that meet a request."""

    _randomness: random.Random
    _rules: tuple[FaultRule, ...] = ()
    _met: dict[FaultRule, int] = attrs.field(factory=dict)

    def replace(self, rules: tuple[FaultRule, ...]) -> None:
        """Put other rules in force and start their counts anew."""
        self._rules = rules
        self._met = {}

    def draw(self, call: Call) -> tuple[FaultRule, ...]:
        """Draw the faults that meet the next request of a call."""
        return tuple(rule for rule in self._rules if self._meets(rule, call))

    def _meets(self, rule: FaultRule, call: Call) -> bool:
        if rule.call not in {None, call}:
            return False
        count = self._met.get(rule, 0)
        if rule.limit is not None and count >= rule.limit:
            return False
        if self._randomness.random() >= rule.share:
            return False
        self._met[rule] = count + 1
        return True


def fault_plan(randomness: random.Random) -> FaultPlan:
    """Build a plan without faults."""
    return FaultPlan(randomness=randomness)


def find_fault(
    faults: Iterable[FaultRule],
    kind: FaultKind,
) -> FaultRule | None:
    """Give the first fault of a kind, or none."""
    return next((rule for rule in faults if rule.kind is kind), None)
