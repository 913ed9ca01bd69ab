"""The table that the demo prints: one row a step."""

from typing import Final

import attrs

from fennelfork_bench.rig._caller import Asked
from fennelfork_bench.rig._report import percentile, table

_TITLES: Final = (
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
    """One step of the demo and everything that was asked in it.

    Attributes:
        asked: every request and its answer.
        faults: what was wrong, a sentence each.
        wrong: how many answers had a fault.
    """

    name: str
    asked: list[Asked] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    wrong: int = 0
    remark: str = ''

    def add(self, asked: Asked, faults: list[str]) -> None:
        """Note one answer and what was wrong with it."""
        self.asked.append(asked)
        self.faults.extend(f'{self.name}: {fault}' for fault in faults)
        if faults:
            self.wrong += 1
            self.remark = faults[0]

    def row(self) -> list[str]:
        """Write the row of the table."""
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
            str(len(self.asked) - self.wrong),
            str(sum(each.attempts - 1 for each in self.asked)),
            str(sum(len(body.get('records', ())) for body in bodies)),
            _seen([body.get('snapshot') for body in bodies]),
            f'{min(fractions):.3f}' if fractions else '-',
            _seen([body.get('config_version') for body in bodies]),
            str(sum(hedges)),
            f'{percentile(times_ms, _MEDIAN):.0f}' if times_ms else '-',
            f'{max(times_ms):.0f}' if times_ms else '-',
            self.remark,
        ]


def steps_table(steps: list[Step]) -> str:
    """Write the whole table."""
    return table([list(_TITLES), *(step.row() for step in steps)])


def _seen(found: list[int | None]) -> str:
    known = sorted({each for each in found if each is not None})
    return ','.join(map(str, known)) or '-'
