"""Public names of the packages."""

import ast
import importlib
import pathlib
import types
from collections import Counter

import pytest

_PACKAGES = [
    'fennelfork',
    'fennelfork.config',
    'fennelfork.gather',
    'fennelfork.home',
    'fennelfork.membership',
    'fennelfork.once',
    'fennelfork.placement',
    'fennelfork.responses',
    'fennelfork.routes',
    'fennelfork.servers',
    'fennelfork.shares',
    'fennelfork.workspaces',
]


@pytest.mark.parametrize('name', _PACKAGES)
class TestExports:
    """Public names that the stub of a package lists."""

    def test_names_are_unique(self, name: str) -> None:
        """No name is imported from two modules."""
        package = importlib.import_module(name)
        names = Counter(listed for _module, listed in _listed(package))
        assert names
        assert sorted(names) == sorted(names.elements())

    def test_names_resolve(self, name: str) -> None:
        """Each listed name resolves to the attribute of its module."""
        package = importlib.import_module(name)
        for module, listed in _listed(package):
            owner = importlib.import_module(f'{name}.{module}')
            assert getattr(package, listed) is getattr(owner, listed)


def _listed(package: types.ModuleType) -> list[tuple[str, str]]:
    source = pathlib.Path(package.__file__).with_suffix('.pyi').read_text()
    return [
        (statement.module, alias.asname or alias.name)
        for statement in ast.parse(source).body
        if isinstance(statement, ast.ImportFrom)
        for alias in statement.names
    ]
