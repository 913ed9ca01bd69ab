"""Tests of the formatting of text tables."""

from fennelfork_cli._text_table import text_table


class TestTextTable:
    """Alignment and headings of columns."""

    def test_aligns(self) -> None:
        """Numbers are right-aligned, texts left-aligned, None is `-`."""
        rows = [
            {'name': 'a', 'busy_ms': 5, 'ok': True},
            {'name': 'bcd', 'busy_ms': 12345678, 'ok': None},
        ]
        assert text_table(('name', 'busy_ms', 'ok'), rows).splitlines() == [
            'name   busy ms  ok',
            'a            5  yes',
            'bcd   12345678  -',
        ]

    def test_without_rows(self) -> None:
        """A table without rows consists of the heading."""
        assert text_table(('a', 'b'), []) == 'a  b'
