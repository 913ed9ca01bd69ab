"""Reading of a daemon's settings file."""

import pathlib
import tomllib
from typing import Any, Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork_daemon.settings._problems import (
    SettingProblem,
    setting_problems,
)
from fennelfork_daemon.settings._reader import settings_converter
from fennelfork_daemon.settings._tables import Settings

_REQUIRED_TABLES: Final = ('daemon', 'listen', 'platform')


def load_settings(
    path: pathlib.Path,
) -> Result[Settings, tuple[SettingProblem, ...]]:
    """Read and check the settings file at `path`.

    Returns:
        The settings, or everything that is wrong with the file at once.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as err:
        return _file_problem(path, f'cannot be read: {err}')
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as err:
        return _file_problem(path, f'is not TOML: {err}')
    return read_settings(document)


def read_settings(
    document: dict[str, Any],
) -> Result[Settings, tuple[SettingProblem, ...]]:
    """Check a parsed settings document.

    Returns:
        The settings, or each unknown, missing or wrong value.
    """
    tables: dict[str, Any] = dict.fromkeys(_REQUIRED_TABLES, {}) | document
    try:
        settings = settings_converter().structure(tables, Settings)
    except Exception as err:
        return Failure(setting_problems(err, Settings))
    found = _across(settings)
    return Failure(found) if found else Success(settings)


def _across(settings: Settings) -> tuple[SettingProblem, ...]:
    """Check what depends on more than one setting."""
    found = []
    timeouts = settings.timeouts
    if timeouts.stop_ms < timeouts.entry_ttl_ms:
        found.append(
            SettingProblem(
                path='timeouts.stop_ms',
                message=f'{timeouts.stop_ms} is shorter than entry_ttl_ms',
                allowed=f'at least {timeouts.entry_ttl_ms}, so that callers '
                'stop coming before the daemon stops listening',
            ),
        )
    faces = attrs.astuple(settings.listen, recurse=False)
    fixed = [face for face in faces if face.port]
    if len(set(fixed)) < len(fixed):
        found.append(
            SettingProblem(
                path='listen',
                message='two faces have the same address',
                allowed='one address for each of caller, operator and peer',
            ),
        )
    return tuple(found)


def _file_problem(
    path: pathlib.Path,
    message: str,
) -> Result[Settings, tuple[SettingProblem, ...]]:
    return Failure(
        (
            SettingProblem(
                path=str(path), message=message, allowed='a TOML file'
            ),
        )
    )
