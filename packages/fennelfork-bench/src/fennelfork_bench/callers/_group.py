"""Several caller processes that share one load."""

from typing import Final

import attrs

from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.callers._tally import Tally, beside, parse_tally
from fennelfork_bench.rig._process import Process, Rig, RigError

# What one caller process sends a second without being the bottleneck.
_RATE_A_PROCESS: Final = 250
_MARGIN_S: Final = 90
_MS: Final = 1000


def run_callers(rig: Rig, load: LoadSpec) -> Tally:
    """Run a load, split over as many processes as its rate needs.

    Raises:
        RigError: if a caller process failed or did not end.
    """
    started = start_callers(rig, load)
    return await_callers(started, load)


def start_callers(rig: Rig, load: LoadSpec) -> list[Process]:
    """Start the caller processes of a load and return at once."""
    count = max(1, -int(-load.rate_per_s // _RATE_A_PROCESS))
    return [
        rig.start_module(
            f'caller-{number}',
            'fennelfork_bench.caller',
            _options(_part(load, number, count)),
        )
        for number in range(count)
    ]


def await_callers(started: list[Process], load: LoadSpec) -> Tally:
    """Wait for the caller processes of a load and add their tallies.

    Raises:
        RigError: if one failed or did not end.
    """
    cap_s = load.count / load.rate_per_s + load.deadline_ms / _MS + _MARGIN_S
    for process in started:
        status = process.wait(cap_s)
        if status != 0:
            errors = process.stderr.read_text()
            raise RigError(f'{process.name} gave {status}: {errors}')
    return beside(parse_tally(each.stdout.read_text()) for each in started)


def _part(load: LoadSpec, number: int, count: int) -> LoadSpec:
    history = load.history
    return attrs.evolve(
        load,
        caller=f'{load.caller}-{number}',
        rate_per_s=load.rate_per_s / count,
        count=load.count // count,
        seed=load.seed * _MS + number,
        history=history and history.with_suffix(f'.{number}'),
    )


def _options(load: LoadSpec) -> list[str]:
    options = []
    for name, setting in attrs.asdict(load).items():
        option = name.strip('_').replace('_', '-')
        if isinstance(setting, bool):
            options.append(f'--{option}' if setting else f'--no-{option}')
        elif setting is not None:
            options.append(f'--{option}={setting}')
    return options
