"""Group of caller processes that share one load."""

from typing import Final

import attrs

from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.callers._tally import Tally, merge_parallel, parse_tally
from fennelfork_bench.rig._process import Process, Rig, RigError

# Rate at which a single caller process is not the bottleneck.
_MAX_RATE_PER_PROCESS: Final = 250
_MARGIN_S: Final = 90
_MS_PER_SECOND: Final = 1000


def run_callers(rig: Rig, load: LoadSpec) -> Tally:
    """Run a load in as many caller processes as the rate requires.

    Raises:
        RigError: if a caller process failed or timed out.
    """
    started = start_callers(rig, load)
    return await_callers(started, load)


def start_callers(rig: Rig, load: LoadSpec) -> list[Process]:
    """Start the caller processes of a load without waiting for them."""
    count = max(1, -int(-load.rate_per_s // _MAX_RATE_PER_PROCESS))
    return [
        rig.start_module(
            f'caller-{number}',
            'fennelfork_bench.caller',
            _format_options(_load_share(load, number, count)),
        )
        for number in range(count)
    ]


def await_callers(started: list[Process], load: LoadSpec) -> Tally:
    """Wait for the caller processes of a load and merge their tallies.

    Raises:
        RigError: if a caller process failed or timed out.
    """
    timeout_s = (
        load.count / load.rate_per_s
        + load.deadline_ms / _MS_PER_SECOND
        + _MARGIN_S
    )
    for process in started:
        exit_code = process.wait(timeout_s)
        if exit_code != 0:
            errors = process.stderr.read_text()
            raise RigError(f'{process.name} exited with {exit_code}: {errors}')
    return merge_parallel(
        parse_tally(each.stdout.read_text()) for each in started
    )


def _load_share(load: LoadSpec, number: int, count: int) -> LoadSpec:
    history = load.history
    return attrs.evolve(
        load,
        caller=f'{load.caller}-{number}',
        rate_per_s=load.rate_per_s / count,
        count=load.count // count,
        seed=load.seed * _MS_PER_SECOND + number,
        history=history and history.with_suffix(f'.{number}'),
    )


def _format_options(load: LoadSpec) -> list[str]:
    options = []
    for name, setting in attrs.asdict(load).items():
        option = name.strip('_').replace('_', '-')
        if isinstance(setting, bool):
            options.append(f'--{option}' if setting else f'--no-{option}')
        elif setting is not None:
            options.append(f'--{option}={setting}')
    return options
