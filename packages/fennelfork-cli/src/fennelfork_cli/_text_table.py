"""Formatting of text tables."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

_COLUMN_GAP: Final = '  '
_MISSING_CELL: Final = '-'


def text_table(
    columns: Sequence[str],
    rows: Iterable[Mapping[str, Any]],
) -> str:
    """Format rows as a table with a heading and right-aligned numbers.

    Args:
        columns: keys of the columns, in order.
        rows: rows of the table; a missing key is shown as `-`.

    Returns:
        Table without a newline at the end.
    """
    raw_rows = [list(map(row.get, columns)) for row in rows]
    cells = [_format_heading(columns)]
    cells.extend(list(map(_format_cell, row)) for row in raw_rows)
    right_aligned = [
        _is_numeric(column) for column in _transpose(raw_rows, columns)
    ]
    widths = _column_widths(cells)
    return '\n'.join(_format_row(row, widths, right_aligned) for row in cells)


def _column_widths(cells: list[list[str]]) -> list[int]:
    columns = zip(*cells, strict=True)
    return [max(map(len, column)) for column in columns]


def _format_heading(columns: Sequence[str]) -> list[str]:
    return [column.replace('_', ' ') for column in columns]


def _transpose(
    raw_rows: list[list[Any]],
    columns: Sequence[str],
) -> list[list[Any]]:
    return [[row[index] for row in raw_rows] for index in range(len(columns))]


def _is_numeric(values: list[Any]) -> bool:
    return bool(values) and all(
        isinstance(value, int | float) for value in values
    )


def _format_row(
    row: list[str], widths: list[int], right_aligned: list[bool]
) -> str:
    padded = [
        cell.rjust(width) if is_right_aligned else cell.ljust(width)
        for cell, width, is_right_aligned in zip(
            row, widths, right_aligned, strict=True
        )
    ]
    return _COLUMN_GAP.join(padded).rstrip()


def _format_cell(value: Any) -> str:
    if value is None:
        return _MISSING_CELL
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list | tuple):
        return ', '.join(map(str, value)) or _MISSING_CELL
    return str(value)
