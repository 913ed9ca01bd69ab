"""Run of the demo: requests to a small fleet while processes are killed."""

import sys
import time
from pathlib import Path
from typing import Final

import attrs

from fennelfork_bench.demo import _steps as demo_steps
from fennelfork_bench.demo._fleet import demo_fleet
from fennelfork_bench.demo._table import Step, format_steps_table
from fennelfork_bench.rig._config import await_version, build_initial_patch
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import RigError, rig
from fennelfork_bench.rig._report import Arm, Report
from fennelfork_bench.rig._settings import write_toml

_CLI_TIMEOUT_S: Final = 20


@attrs.frozen(kw_only=True)
class DemoReport:
    """Report of the demo.

    Attributes:
        seed: seed of the run.
        steps: steps in the order of the run.
        took_s: duration of the run in seconds.
    """

    seed: int
    steps: tuple[Step, ...]
    took_s: float

    @property
    def failures(self) -> tuple[str, ...]:
        """Faults of the answers of all steps."""
        return tuple(fault for step in self.steps for fault in step.faults)

    def to_text(self) -> str:
        """Format the table of steps, a summary and the faults."""
        wrong_count = sum(step.wrong_count for step in self.steps)
        conclusion = (
            f'{wrong_count} wrong answers, total time {self.took_s:.0f} s'
        )
        listed_steps = list(self.steps)
        return '\n'.join(
            (format_steps_table(listed_steps), conclusion, *self.failures)
        )

    def to_json(self) -> str:
        """Serialise the counts of each step like the report of an experiment."""
        arms = tuple(
            Arm(
                name=step.name,
                metrics={'asked': len(step.asked), 'wrong': step.wrong_count},
            )
            for step in self.steps
        )
        return Report(experiment='demo', seed=self.seed, arms=arms).to_json()


def run(seed: int) -> DemoReport:
    """Run the demo.

    Args:
        seed: seed of the service times and of the requested keys.
    """
    started_s = time.monotonic()
    with rig() as started:
        fleet = empty_fleet(started, demo_fleet(seed))
        fleet.start_backends().start_daemons()
        _apply_first_patch(fleet)
        done = _run_steps(fleet, seed)
    return DemoReport(
        seed=seed,
        steps=tuple(done),
        took_s=time.monotonic() - started_s,
    )


def _run_steps(fleet: Fleet, seed: int) -> list[Step]:
    return [
        demo_steps.fetch_entries(fleet),
        demo_steps.look_up_records(fleet, seed),
        demo_steps.read_register(fleet, 'whole register'),
        demo_steps.issue_certificate(fleet, 'issue certificate', 7),
        *demo_steps.kill_under_load(fleet, seed),
        demo_steps.read_register(fleet, 'whole register again'),
        demo_steps.issue_certificate(fleet, 'issue another', 8),
        *demo_steps.kill_only_replica(fleet),
    ]


def _apply_first_patch(fleet: Fleet) -> None:
    path: Path = fleet.rig.directory / 'fronts.toml'
    path.write_text(write_toml(build_initial_patch(fleet)))
    command = fleet.rig.start(
        'fennelfork-config-patch',
        (
            *(sys.executable, '-m', 'fennelfork_cli', 'config', 'patch'),
            *('--base', '0', '--operator', fleet.operators[0], str(path)),
        ),
    )
    if command.wait(_CLI_TIMEOUT_S) != 0:
        output_text = command.stdout.read_text() + command.stderr.read_text()
        raise RigError(f'fennelfork config patch failed: {output_text}')
    await_version(fleet, 1)
