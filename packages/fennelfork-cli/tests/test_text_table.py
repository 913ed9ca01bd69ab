"""Tables of text."""

from fennelfork_cli._text_table import text_table


class TestTextTable:
    """Columns under a heading."""

    def test_aligns(self) -> None:
        """Numbers go to the right, words to the left, blanks are marked."""
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
        """No rows leave the heading."""
        assert text_table(('a', 'b'), []) == 'a  b'
