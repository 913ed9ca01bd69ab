"""Checks of the sources of all packages."""

import ast
from pathlib import Path

_PACKAGES = Path(__file__).parents[2]


def _http_attributes(path: Path) -> list[str]:
    """Return the submodules that a module imports with `from http import`."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    return [
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module == 'http'
        for alias in node.names
        if alias.name == alias.name.lower()
    ]


class TestImports:
    """Imports that are unsafe together with eventlet."""

    def test_no_submodule_of_http_by_attribute(self) -> None:
        """No module contains `from http import server`.

        eventlet replaces the attribute with a green module, in which a server
        on a native thread blocks for ever.
        """
        unsafe_imports = {
            str(path): names
            for path in _PACKAGES.glob('*/*/**/*.py')
            if (names := _http_attributes(path))
        }
        assert not unsafe_imports
