"""Faults of daemons: killed, paused, stopped."""

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
from fennelfork_bench.soak._fault import End, Fault, begin
from fennelfork_bench.soak._trial import Trial

_STOP_CAP_S: Final = 60


@attrs.frozen(kw_only=True)
class KillDaemon(Fault):
    """A daemon is killed, and later a new run of it is started."""


@attrs.frozen(kw_only=True)
class PauseDaemon(Fault):
    """A daemon stands still, its connections open."""


@attrs.frozen(kw_only=True)
class StopDaemon(Fault):
    """A daemon is asked to stop, and a new run follows when it has."""


@begin.register
def _kill(fault: KillDaemon, trial: Trial) -> End:
    victim = _pick(trial)
    victim.kill()
    trial.recorder.note(
        Killed(at_ms=trial.recorder.now_ms(), daemon=victim.ready['caller']),
    )
    trial.fleet.list_vms()
    return functools.partial(_start_again, trial, victim)


@begin.register
def _pause(fault: PauseDaemon, trial: Trial) -> End:
    victim = _pick(trial)
    trial.recorder.note(
        Paused(at_ms=trial.recorder.now_ms(), daemon=victim.ready['caller']),
    )
    victim.pause()
    return functools.partial(_resume, trial, victim)


@begin.register
def _stop(fault: StopDaemon, trial: Trial) -> End:
    victim = _pick(trial)
    trial.fleet.mark_leaving(victim.name)
    trial.recorder.note(
        StopAsked(at_ms=trial.recorder.now_ms(), daemon=victim.ready['caller']),
    )
    victim.terminate()
    return functools.partial(_await_exit, trial, victim)


def _resume(trial: Trial, victim: Process) -> None:
    victim.resume()
    trial.recorder.note(
        Resumed(at_ms=trial.recorder.now_ms(), daemon=victim.ready['caller']),
    )


def _await_exit(trial: Trial, victim: Process) -> None:
    status = victim.wait(_STOP_CAP_S)
    if status is not None:
        trial.recorder.note(
            Exited(
                at_ms=trial.recorder.now_ms(),
                daemon=victim.ready['caller'],
                status=status,
            ),
        )
        _start_again(trial, victim)


def _start_again(trial: Trial, victim: Process) -> None:
    fleet = trial.fleet
    if fleet.daemons[victim.name] is not victim:
        return
    # Noted before anyone asks it for its version: the time that it has to
    # take the configuration begins with its start.
    fleet.start_daemons(
        [fleet.daemon_spec(victim.name)],
        trial.note_started,
    )


def _pick(trial: Trial) -> Process:
    return trial.randomness.choice(trial.fleet.living)
