"""Table that the demo prints, with one row for each step."""

from typing import Final

import attrs

from fennelfork_bench.rig._caller import RequestResult
from fennelfork_bench.rig._report import format_table, percentile

_COLUMNS: Final = (
    'step',
    'asked',
    'right',
    'again',
    'records',
    'snapshot',
    'coverage',
    'config',
    'hedges',
    'p50 ms',
    'max ms',
    'remark',
)
_MEDIAN: Final = 0.5


@attrs.define(kw_only=True)
class Step:
    """Step of the demo with its requests.

    Attributes:
        name: name of the step.
        asked: requests and their answers.
        faults: descriptions of the faults of all answers.
        wrong_count: number of answers with a fault.
        remark: text of the last column.
    """

    name: str
    asked: list[RequestResult] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    wrong_count: int = 0
    remark: str = ''

    def add(self, asked: RequestResult, faults: list[str]) -> None:
        """Record an answer and its faults."""
        self.asked.append(asked)
        self.faults.extend(f'{self.name}: {fault}' for fault in faults)
        if faults:
            self.wrong_count += 1
            self.remark = faults[0]

    def row(self) -> list[str]:
        """Format the row of the step."""
        bodies = [each.reply.body for each in self.asked]
        fractions = [
            body['coverage']['fraction']
            for body in bodies
            if 'coverage' in body
        ]
        hedges = [body.get('work', {}).get('hedges', 0) for body in bodies]
        times_ms = [each.took_ms for each in self.asked]
        return [
            self.name,
            str(len(self.asked)),
            str(len(self.asked) - self.wrong_count),
            str(sum(each.attempts - 1 for each in self.asked)),
            str(sum(len(body.get('records', ())) for body in bodies)),
            _join_distinct([body.get('snapshot') for body in bodies]),
            f'{min(fractions):.3f}' if fractions else '-',
            _join_distinct([body.get('config_version') for body in bodies]),
            str(sum(hedges)),
            f'{percentile(times_ms, _MEDIAN):.0f}' if times_ms else '-',
            f'{max(times_ms):.0f}' if times_ms else '-',
            self.remark,
        ]


def format_steps_table(steps: list[Step]) -> str:
    """Format the table of all steps."""
    return format_table([list(_COLUMNS), *(step.row() for step in steps)])


def _join_distinct(numbers: list[int | None]) -> str:
    distinct = sorted({each for each in numbers if each is not None})
    return ','.join(map(str, distinct)) or '-'
