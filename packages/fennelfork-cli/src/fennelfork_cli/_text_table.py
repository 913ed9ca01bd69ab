"""Tables of text for people."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

_GAP: Final = '  '
_ABSENT: Final = '-'


def text_table(
    columns: Sequence[str],
    rows: Iterable[Mapping[str, Any]],
) -> str:
    """Lay out rows under a heading, numbers to the right.

    Args:
        columns: which keys of the rows to show, in order.
        rows: what to show; a missing key is shown as `-`.

    Returns:
        Lines without a newline at the end.
    """
    shown = [list(map(row.get, columns)) for row in rows]
    cells = [_heading(columns)]
    cells.extend(list(map(_cell, row)) for row in shown)
    right = [_all_numbers(column) for column in _columns(shown, columns)]
    widths = _widths(cells)
    return '\n'.join(_line(row, widths, right) for row in cells)


def _widths(cells: list[list[str]]) -> list[int]:
    columns = zip(*cells, strict=True)
    return [max(map(len, column)) for column in columns]


def _heading(columns: Sequence[str]) -> list[str]:
    return [column.replace('_', ' ') for column in columns]


def _columns(
    shown: list[list[Any]],
    columns: Sequence[str],
) -> list[list[Any]]:
    return [[row[at] for row in shown] for at in range(len(columns))]


def _all_numbers(values: list[Any]) -> bool:
    return bool(values) and all(
        isinstance(value, int | float) for value in values
    )


def _line(row: list[str], widths: list[int], right: list[bool]) -> str:
    padded = [
        cell.rjust(width) if to_right else cell.ljust(width)
        for cell, width, to_right in zip(row, widths, right, strict=True)
    ]
    return _GAP.join(padded).rstrip()


def _cell(value: Any) -> str:
    if value is None:
        return _ABSENT
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list | tuple):
        return ', '.join(map(str, value)) or _ABSENT
    return str(value)
