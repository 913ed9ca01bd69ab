"""Faults of daemons: kill, pause and planned stop."""

import functools
from typing import Final

import attrs

from fennelfork_bench.history._daemon import (
    Exited,
    Killed,
    Paused,
    Resumed,
    StopAsked,
)
from fennelfork_bench.rig._process import Process
from fennelfork_bench.soak._fault import Clear, Fault, inject
from fennelfork_bench.soak._round_context import RoundContext

_STOP_TIMEOUT_S: Final = 60


@attrs.frozen(kw_only=True)
class KillDaemon(Fault):
    """Kill a daemon, and start a new incarnation when cleared."""


@attrs.frozen(kw_only=True)
class PauseDaemon(Fault):
    """Suspend a daemon process; the connections stay open."""


@attrs.frozen(kw_only=True)
class StopDaemon(Fault):
    """Stop a daemon gracefully, and start a new incarnation after the exit."""


@inject.register
def _inject_kill(fault: KillDaemon, context: RoundContext) -> Clear:
    daemon = _draw_daemon(context)
    daemon.kill()
    context.recorder.record_event(
        Killed(at_ms=context.recorder.now_ms(), daemon=daemon.ready['caller']),
    )
    context.fleet.update_vm_list()
    return functools.partial(_restart, context, daemon)


@inject.register
def _inject_pause(fault: PauseDaemon, context: RoundContext) -> Clear:
    daemon = _draw_daemon(context)
    context.recorder.record_event(
        Paused(at_ms=context.recorder.now_ms(), daemon=daemon.ready['caller']),
    )
    daemon.pause()
    return functools.partial(_resume, context, daemon)


@inject.register
def _inject_stop(fault: StopDaemon, context: RoundContext) -> Clear:
    daemon = _draw_daemon(context)
    context.fleet.mark_vm_leaving(daemon.name)
    context.recorder.record_event(
        StopAsked(
            at_ms=context.recorder.now_ms(), daemon=daemon.ready['caller']
        ),
    )
    daemon.terminate()
    return functools.partial(_await_exit, context, daemon)


def _resume(context: RoundContext, daemon: Process) -> None:
    daemon.resume()
    context.recorder.record_event(
        Resumed(at_ms=context.recorder.now_ms(), daemon=daemon.ready['caller']),
    )


def _await_exit(context: RoundContext, daemon: Process) -> None:
    status = daemon.wait(_STOP_TIMEOUT_S)
    if status is not None:
        context.recorder.record_event(
            Exited(
                at_ms=context.recorder.now_ms(),
                daemon=daemon.ready['caller'],
                status=status,
            ),
        )
        _restart(context, daemon)


def _restart(context: RoundContext, daemon: Process) -> None:
    fleet = context.fleet
    if fleet.daemons[daemon.name] is not daemon:
        return
    # Recorded as soon as the daemon is ready: the checker measures the delay
    # of the configuration from the start.
    fleet.start_daemons(
        [fleet.daemon_spec(daemon.name)],
        context.record_start,
    )


def _draw_daemon(context: RoundContext) -> Process:
    return context.randomness.choice(context.fleet.running_daemons)
