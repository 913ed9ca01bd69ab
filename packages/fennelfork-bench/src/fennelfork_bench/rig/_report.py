"""Results of an experiment, for people and for machines."""

import json
from typing import Final

import attrs

_GAP: Final = 2


@attrs.frozen(kw_only=True)
class Arm:
    """One arm of an experiment and what was measured on it."""

    name: str
    metrics: dict[str, float]


@attrs.frozen(kw_only=True)
class Report:
    """Every arm of one run of an experiment.

    Attributes:
        failures: promises that the run saw broken; the exit status is 1.
    """

    experiment: str
    seed: int
    arms: tuple[Arm, ...]
    failures: tuple[str, ...] = ()

    def to_json(self) -> str:
        """Write the report as one JSON object."""
        return json.dumps(
            {
                'experiment': self.experiment,
                'seed': self.seed,
                'arms': [attrs.asdict(arm) for arm in self.arms],
                'failures': self.failures,
            },
        )

    def to_text(self) -> str:
        """Write the report as a table, one row a metric."""
        titles = [arm.name for arm in self.arms]
        rows = [['', *titles]]
        for name in dict.fromkeys(_metric_names(self.arms)):
            rows.append([name, *_cells(self.arms, name)])
        return '\n'.join((table(rows), *self.failures))


def table(rows: list[list[str]]) -> str:
    """Lay out rows of equal length in columns."""
    columns = zip(*rows, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_row(row, widths) for row in rows)


def percentile(samples: list[float], share: float) -> float:
    """Give the sample below which a share of all lie.

    Args:
        samples: at least one, in any order.
        share: between 0 and 1.
    """
    ordered = sorted(samples)
    rank = int(share * len(ordered))
    return ordered[min(len(ordered) - 1, rank)]


def _row(row: list[str], widths: list[int]) -> str:
    cells = map(str.ljust, row, [width + _GAP for width in widths])
    return ''.join(cells).rstrip()


def _metric_names(arms: tuple[Arm, ...]) -> list[str]:
    return [name for arm in arms for name in arm.metrics]


def _cells(arms: tuple[Arm, ...], name: str) -> list[str]:
    found = [arm.metrics.get(name) for arm in arms]
    return ['-' if metric is None else f'{metric:.6g}' for metric in found]
