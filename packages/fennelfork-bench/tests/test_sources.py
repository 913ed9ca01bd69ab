"""What the sources of the workspace may not hold."""

import ast
from pathlib import Path

_PACKAGES = Path(__file__).parents[2]


def _http_attributes(path: Path) -> list[str]:
    """List the submodules that a file takes as attributes of `http`."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    return [
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module == 'http'
        for alias in node.names
        if alias.name == alias.name.lower()
    ]


class TestImports:
    """Imports that eventlet's green modules make unsafe."""

    def test_no_submodule_of_http_by_attribute(self) -> None:
        """No file takes `server` from `http`.

        eventlet leaves a green copy there, and a real thread that serves
        with it never wakes: the test hangs.
        """
        found = {
            str(path): names
            for path in _PACKAGES.glob('*/*/**/*.py')
            if (names := _http_attributes(path))
        }
        assert not found
