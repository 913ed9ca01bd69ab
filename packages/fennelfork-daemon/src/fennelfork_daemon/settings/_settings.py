"""Loading and validation of the settings file of a daemon."""

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
    """Read and validate the settings file at `path`.

    Returns:
        The settings, or all problems of the file.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as err:
        return _file_failure(path, f'cannot be read: {err}')
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as err:
        return _file_failure(path, f'is not TOML: {err}')
    return read_settings(document)


def read_settings(
    document: dict[str, Any],
) -> Result[Settings, tuple[SettingProblem, ...]]:
    """Validate a parsed settings document.

    Returns:
        The settings, or a problem for each unknown, missing or invalid value.
    """
    tables: dict[str, Any] = dict.fromkeys(_REQUIRED_TABLES, {}) | document
    try:
        settings = settings_converter().structure(tables, Settings)
    except Exception as err:
        return Failure(setting_problems(err, Settings))
    problems = _cross_check(settings)
    return Failure(problems) if problems else Success(settings)


def _cross_check(settings: Settings) -> tuple[SettingProblem, ...]:
    """Validate the constraints between several settings."""
    problems = []
    timeouts = settings.timeouts
    if timeouts.stop_ms < timeouts.entry_ttl_ms:
        problems.append(
            SettingProblem(
                path='timeouts.stop_ms',
                message=f'{timeouts.stop_ms} is shorter than entry_ttl_ms',
                allowed=f'at least {timeouts.entry_ttl_ms}, so that callers '
                'stop sending requests before the daemon stops listening',
            ),
        )
    addresses = attrs.astuple(settings.listen, recurse=False)
    fixed_addresses = [address for address in addresses if address.port]
    if len(set(fixed_addresses)) < len(fixed_addresses):
        problems.append(
            SettingProblem(
                path='listen',
                message='two interfaces have the same address',
                allowed='one address for each of caller, operator and peer',
            ),
        )
    return tuple(problems)


def _file_failure(
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
