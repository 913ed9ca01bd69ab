"""Reading of TOML files that a person wrote."""

import pathlib
import tomllib
from typing import Any


class UsageError(Exception):
    """What a person gave the command cannot be used."""


def read_toml(path: pathlib.Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        UsageError: if it cannot be read or is not TOML, with the place.
    """
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as err:
        raise UsageError(f'{path}: {err}') from err
