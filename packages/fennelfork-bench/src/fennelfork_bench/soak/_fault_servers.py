"""Faults of backend servers: lost, frozen, silent, false or leaving."""

import functools

import attrs

from fennelfork_bench.history._server import DrainAsked
from fennelfork_bench.soak._fault import End, Fault, begin, nothing
from fennelfork_bench.soak._targets import pick, pick_spare, switch
from fennelfork_bench.soak._servers import order, server_events
from fennelfork_bench.soak._trial import Trial


@attrs.frozen(kw_only=True)
class KillServer(Fault):
    """A replica is lost for good, without warning."""


@attrs.frozen(kw_only=True)
class FreezeServer(Fault):
    """A server stands still, its connections open."""


@attrs.frozen(kw_only=True)
class SilenceConnections(Fault):
    """Open connections of a server go silent; new ones work."""


@attrs.frozen(kw_only=True)
class SpoilReplies(Fault):
    """Some replies of a server are spoiled.

    Attributes:
        kind: how, in the words of the stand-in.
        share: probability that a reply is spoiled.
        delay_ms: for late replies, how late.
    """

    kind: str
    share: float = 0.2
    delay_ms: float = 300


@attrs.frozen(kw_only=True)
class DrainServer(Fault):
    """A server is told to leave, and does not come back.

    Attributes:
        lies: whether its health and load say that it serves and is idle.
    """

    lies: bool = False


@begin.register
def _kill(fault: KillServer, trial: Trial) -> End:
    victim = pick_spare(trial)
    # A frozen server runs nothing more: its log is whole when it is read.
    order(victim, 'faults', {'freeze_ms': 60_000})
    for event in server_events(victim):
        trial.recorder.note(event)
    victim.kill()
    return nothing


@begin.register
def _freeze(fault: FreezeServer, trial: Trial) -> End:
    switch(pick(trial), freeze_ms=1000 * fault.hold_s)
    return nothing


@begin.register
def _silence(fault: SilenceConnections, trial: Trial) -> End:
    switch(pick(trial), silence=True)
    return nothing


@begin.register
def _spoil(fault: SpoilReplies, trial: Trial) -> End:
    victim = pick(trial)
    rule = {
        'kind': fault.kind,
        'share': fault.share,
        'delay_ms': fault.delay_ms,
    }
    switch(victim, rules=[rule])
    return functools.partial(switch, victim)


@begin.register
def _drain(fault: DrainServer, trial: Trial) -> End:
    victim = pick_spare(trial)
    if fault.lies:
        switch(victim, health={'state': 'serving', 'busy': 0})
    order(victim, 'drain', {'draining': True})
    now_ms = trial.recorder.now_ms()
    trial.recorder.note(DrainAsked(at_ms=now_ms, server=victim.name))
    return nothing
