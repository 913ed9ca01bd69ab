"""Reports of experiments as text and as JSON."""

import json
from typing import Final

import attrs

_COLUMN_GAP: Final = 2


@attrs.frozen(kw_only=True)
class Arm:
    """Arm of an experiment with its measured metrics."""

    name: str
    metrics: dict[str, float]


@attrs.frozen(kw_only=True)
class Report:
    """Result of one run of an experiment.

    Attributes:
        experiment: name of the experiment.
        seed: seed of the random numbers.
        arms: arms of the experiment with their metrics.
        failures: violated guarantees; any violation makes the exit status 1.
    """

    experiment: str
    seed: int
    arms: tuple[Arm, ...]
    failures: tuple[str, ...] = ()

    def to_json(self) -> str:
        """Return the report as one JSON object."""
        return json.dumps(
            {
                'experiment': self.experiment,
                'seed': self.seed,
                'arms': [attrs.asdict(arm) for arm in self.arms],
                'failures': self.failures,
            },
        )

    def to_text(self) -> str:
        """Return the report as a table with one row per metric."""
        arm_names = [arm.name for arm in self.arms]
        rows = [['', *arm_names]]
        for name in dict.fromkeys(_metric_names(self.arms)):
            rows.append([name, *_format_metrics(self.arms, name)])
        return '\n'.join((format_table(rows), *self.failures))


def format_table(rows: list[list[str]]) -> str:
    """Format rows of equal length as aligned columns."""
    columns = zip(*rows, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_format_row(row, widths) for row in rows)


def percentile(samples: list[float], share: float) -> float:
    """Return a percentile of samples.

    Args:
        samples: non-empty list of samples in any order.
        share: percentile as a fraction between 0 and 1.
    """
    ordered = sorted(samples)
    rank = int(share * len(ordered))
    return ordered[min(len(ordered) - 1, rank)]


def _format_row(row: list[str], widths: list[int]) -> str:
    cells = map(str.ljust, row, [width + _COLUMN_GAP for width in widths])
    return ''.join(cells).rstrip()


def _metric_names(arms: tuple[Arm, ...]) -> list[str]:
    return [name for arm in arms for name in arm.metrics]


def _format_metrics(arms: tuple[Arm, ...], name: str) -> list[str]:
    found = [arm.metrics.get(name) for arm in arms]
    return ['-' if metric is None else f'{metric:.6g}' for metric in found]
