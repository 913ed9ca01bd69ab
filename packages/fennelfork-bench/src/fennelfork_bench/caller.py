"""Caller stand-in: `python -m fennelfork_bench.caller`."""

from fennelfork_bench.rig import _eventlet  # noqa: F401, I001  (patches first)

import sys
from typing import Annotated

from cyclopts import Parameter, run

from fennelfork_bench.callers._load import run_load
from fennelfork_bench.callers._spec import LoadSpec


def load(spec: Annotated[LoadSpec, Parameter(name='*')]) -> None:
    """Run an open-loop load and print the tally as one line of JSON."""
    sys.stdout.write(f'{run_load(spec).to_json()}\n')


def main() -> None:
    """Parse the command line and run the load."""
    run(load)


if __name__ == '__main__':
    main()
