"""Checks of the configuration of workspaces.

The messages name the workspace and the value, but never a key.
"""

import reprlib
import sys
from typing import Final, cast

from fennelfork.workspaces._workspace import Workspace

# Backend servers get the name in a header.
_MAX_NAME_CHARACTERS: Final = 256


def check_workspace(workspace: Workspace) -> None:
    """Check the values of a workspace, whose types may be wrong.

    Raises:
        ValueError: if a value is invalid.
    """
    _check_name(workspace.name)
    _check_number(workspace, 'rate', workspace.rate_per_s)
    _check_number(workspace, 'burst', workspace.burst)
    priority = workspace.priority
    if priority is not None and not _is_integer(priority):
        raise _invalid(workspace, 'priority', priority, 'an integer')


def check_keys(workspace: Workspace, keys: object) -> None:
    """Check the keys of a workspace, whose types may be wrong.

    Raises:
        ValueError: if the keys are not a list of strings that a header carries
            unchanged.
    """
    if not isinstance(keys, list | tuple):
        kind = type(keys).__name__
        raise ValueError(
            f'keys of workspace {workspace.name}: {kind} is not a list'
        )
    for position, key in enumerate(keys):
        if not _is_key(key):
            raise ValueError(
                f'keys of workspace {workspace.name}: the key at position '
                f'{position} is not a non-empty string of printable ASCII '
                'characters without spaces at its ends',
            )


def _check_name(name: object) -> None:
    is_valid = (
        isinstance(name, str)
        and 0 < len(name) <= _MAX_NAME_CHARACTERS
        and name.isprintable()
        and name == name.strip()
    )
    if not is_valid:
        raise ValueError(
            f'name of a workspace: {reprlib.repr(name)} is not a string of 1 '
            f'to {_MAX_NAME_CHARACTERS} printable characters without spaces '
            'at its ends',
        )


def _check_number(workspace: Workspace, field: str, number: object) -> None:
    is_number = isinstance(number, float) or _is_integer(number)
    if not (is_number and 0 <= cast('float', number) <= sys.float_info.max):
        raise _invalid(
            workspace, field, number, 'a finite number of at least 0'
        )


def _is_integer(number: object) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _is_key(key: object) -> bool:
    if not (isinstance(key, str) and key.isascii() and key.isprintable()):
        return False
    return bool(key) and key == key.strip()


def _invalid(
    workspace: Workspace, field: str, found: object, expected: str
) -> ValueError:
    return ValueError(
        f'{field} of workspace {workspace.name}: {reprlib.repr(found)} is not '
        f'{expected}',
    )
