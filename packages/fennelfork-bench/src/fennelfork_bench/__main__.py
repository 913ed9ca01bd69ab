"""Command line of the experiments: `python -m fennelfork_bench NAME`."""

from fennelfork_bench.rig import _eventlet  # noqa: F401, I001  (patches first)

import signal
import sys
from importlib import import_module
from typing import Final

import cyclopts

from fennelfork_bench.rig._process import RigError

# Module of each experiment; its function `run(seed)` returns a `Report`.
_EXPERIMENTS: Final[dict[str, str]] = {
    'config': 'fennelfork_bench.experiments._config',
    'control': 'fennelfork_bench.experiments._control',
    'demo': 'fennelfork_bench.demo._run',
    'document': 'fennelfork_bench.experiments._document',
    'fanout': 'fennelfork_bench.experiments._fanout',
    'footprint': 'fennelfork_platform_bench.footprint',
    'gather-cost': 'fennelfork_platform_bench.gather_cost',
    'membership': 'fennelfork_bench.experiments._membership',
    'once': 'fennelfork_bench.experiments._once',
    'outage': 'fennelfork_bench.experiments._outage',
    'overload': 'fennelfork_bench.experiments._overload',
    'platform-day': 'fennelfork_platform_bench.day',
    'silent': 'fennelfork_bench.experiments._silent',
    'slots': 'fennelfork_bench.experiments._slots',
    'soak': 'fennelfork_platform_bench.soak._run',
    'stop': 'fennelfork_bench.experiments._stop',
    'tail': 'fennelfork_bench.experiments._tail',
}
_USAGE: Final = 2


def main(
    name: str,
    *,
    seed: int = 1,
    minutes: float | None = None,
    json: bool = False,
) -> int:
    """Run one experiment on real processes over loopback.

    Args:
        name: name of the experiment, or `demo`.
        seed: seed of all random choices of the load and the stand-ins.
        minutes: duration of the soak; not accepted by other experiments.
        json: print one JSON object instead of a table.

    Returns:
        Exit code: 0 for success, 1 if a check failed or the run was aborted,
        2 for an unknown name.
    """
    if name not in _EXPERIMENTS:
        known = ', '.join(sorted(_EXPERIMENTS))
        sys.stderr.write(f'unknown experiment {name}; known: {known}\n')
        return _USAGE
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        report = import_module(_EXPERIMENTS[name]).run(
            seed, **_options(minutes)
        )
    except RigError as error:
        sys.stderr.write(f'{error}\n')
        return 1
    text = report.to_json() if json else report.to_text()
    sys.stdout.write(f'{text}\n')
    return 1 if report.failures else 0


def _options(minutes: float | None) -> dict[str, float]:
    return {} if minutes is None else {'minutes': minutes}


if __name__ == '__main__':
    sys.exit(cyclopts.run(main))
