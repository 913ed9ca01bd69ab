"""Faults of backend servers: crashes, stalls, bad replies, draining."""

import functools

import attrs

from fennelfork_bench.history._server import DrainAsked
from fennelfork_bench.soak._fault import Clear, Fault, inject, skip_clearing
from fennelfork_bench.soak._round_context import RoundContext
from fennelfork_bench.soak._servers import send_control_command, server_events
from fennelfork_bench.soak._targets import (
    draw_redundant_server,
    draw_server,
    set_server_faults,
)


@attrs.frozen(kw_only=True)
class KillServer(Fault):
    """Kill a backend server permanently."""


@attrs.frozen(kw_only=True)
class FreezeServer(Fault):
    """Freeze a backend server; the connections stay open."""


@attrs.frozen(kw_only=True)
class SilenceConnections(Fault):
    """Stop responses on open connections; new connections work."""


@attrs.frozen(kw_only=True)
class SpoilReplies(Fault):
    """Corrupt, delay or drop a share of the responses of a server.

    Attributes:
        kind: kind of the fault rule of the stand-in.
        share: probability that a response is affected.
        delay_ms: delay of late responses, in milliseconds.
    """

    kind: str
    share: float = 0.2
    delay_ms: float = 300


@attrs.frozen(kw_only=True)
class DrainServer(Fault):
    """Drain a backend server permanently.

    Attributes:
        lies: whether the health response still reports an idle, serving
            server.
    """

    lies: bool = False


@inject.register
def _inject_kill(fault: KillServer, context: RoundContext) -> Clear:
    server = draw_redundant_server(context)
    # A frozen server runs no further work, so the log is complete.
    send_control_command(server, 'faults', {'freeze_ms': 60_000})
    for event in server_events(server):
        context.recorder.record_event(event)
    server.kill()
    return skip_clearing


@inject.register
def _inject_freeze(fault: FreezeServer, context: RoundContext) -> Clear:
    set_server_faults(draw_server(context), freeze_ms=1000 * fault.hold_s)
    return skip_clearing


@inject.register
def _inject_silence(fault: SilenceConnections, context: RoundContext) -> Clear:
    set_server_faults(draw_server(context), silence=True)
    return skip_clearing


@inject.register
def _inject_reply_fault(fault: SpoilReplies, context: RoundContext) -> Clear:
    server = draw_server(context)
    rule = {
        'kind': fault.kind,
        'share': fault.share,
        'delay_ms': fault.delay_ms,
    }
    set_server_faults(server, rules=[rule])
    return functools.partial(set_server_faults, server)


@inject.register
def _inject_drain(fault: DrainServer, context: RoundContext) -> Clear:
    server = draw_redundant_server(context)
    if fault.lies:
        set_server_faults(server, health={'state': 'serving', 'busy': 0})
    send_control_command(server, 'drain', {'draining': True})
    now_ms = context.recorder.now_ms()
    context.recorder.record_event(DrainAsked(at_ms=now_ms, server=server.name))
    return skip_clearing
