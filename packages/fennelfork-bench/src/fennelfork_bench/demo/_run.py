"""The demo: a small fleet, real requests, and processes that are killed."""

import sys
import time
from pathlib import Path
from typing import Final

import attrs

from fennelfork_bench.demo import _steps as steps_of
from fennelfork_bench.demo._fleet import demo_fleet
from fennelfork_bench.demo._table import Step, steps_table
from fennelfork_bench.rig._config import await_version, first_patch
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import RigError, rig
from fennelfork_bench.rig._report import Arm, Report
from fennelfork_bench.rig._settings import write_toml

_CLI_CAP_S: Final = 20


@attrs.frozen(kw_only=True)
class DemoReport:
    """Every step; prints as a table, and fails if an answer was not right."""

    seed: int
    steps: tuple[Step, ...]
    took_s: float

    @property
    def failures(self) -> tuple[str, ...]:
        """What was wrong with any answer."""
        return tuple(fault for step in self.steps for fault in step.faults)

    def to_text(self) -> str:
        """Write the table and the conclusion."""
        wrong = sum(step.wrong for step in self.steps)
        conclusion = f'{wrong} answers wrong, {self.took_s:.0f} s in all'
        listed = list(self.steps)
        return '\n'.join((steps_table(listed), conclusion, *self.failures))

    def to_json(self) -> str:
        """Write the counts of each step as the JSON of an experiment."""
        arms = tuple(
            Arm(
                name=step.name,
                metrics={'asked': len(step.asked), 'wrong': step.wrong},
            )
            for step in self.steps
        )
        return Report(experiment='demo', seed=self.seed, arms=arms).to_json()


def run(seed: int) -> DemoReport:
    """Run the demo.

    Args:
        seed: of the service times and the keys asked for.
    """
    started_s = time.monotonic()
    with rig() as started:
        fleet = empty_fleet(started, demo_fleet(seed))
        fleet.start_backends().start_daemons()
        _patch_by_command(fleet)
        done = _run_steps(fleet, seed)
    return DemoReport(
        seed=seed,
        steps=tuple(done),
        took_s=time.monotonic() - started_s,
    )


def _run_steps(fleet: Fleet, seed: int) -> list[Step]:
    return [
        steps_of.ask_entries(fleet),
        steps_of.look_up(fleet, seed),
        steps_of.read_register(fleet, 'whole register'),
        steps_of.issue_certificate(fleet, 'issue certificate', 7),
        *steps_of.kill_under_load(fleet, seed),
        steps_of.read_register(fleet, 'whole register again'),
        steps_of.issue_certificate(fleet, 'issue another', 8),
        *steps_of.lose_a_range(fleet),
    ]


def _patch_by_command(fleet: Fleet) -> None:
    path: Path = fleet.rig.directory / 'fronts.toml'
    path.write_text(write_toml(first_patch(fleet)))
    command = fleet.rig.start(
        'fennelfork-config-patch',
        (
            *(sys.executable, '-m', 'fennelfork_cli', 'config', 'patch'),
            *('--base', '0', '--operator', fleet.operators[0], str(path)),
        ),
    )
    if command.wait(_CLI_CAP_S) != 0:
        said = command.stdout.read_text() + command.stderr.read_text()
        raise RigError(f'fennelfork config patch failed: {said}')
    await_version(fleet, 1)
