"""The names that the package offers."""

import ast
import pathlib
from collections import Counter

import fennelfork


class TestExports:
    """The list of `__init__`."""

    def test_no_name_twice(self) -> None:
        """No name is taken from two modules, where the last would win."""
        source = pathlib.Path(fennelfork.__file__).read_text()
        names = Counter(
            alias.asname or alias.name
            for statement in ast.parse(source).body
            if isinstance(statement, ast.ImportFrom)
            for alias in statement.names
        )
        assert sorted(names) == sorted(names.elements())
