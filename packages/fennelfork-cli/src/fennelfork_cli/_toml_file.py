"""Reading of TOML files that a user passes."""

import pathlib
import tomllib
from typing import Any


class UsageError(Exception):
    """An argument of the command is invalid."""


def read_toml(path: pathlib.Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        UsageError: if the file cannot be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as err:
        raise UsageError(f'{path}: {err}') from err
