"""Problems of a settings file, with one message for each value."""

import difflib
from collections.abc import Iterator
from typing import Any, Final

import attrs
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)

from fennelfork_daemon.settings._descriptions import describe_allowed

_MIN_SIMILARITY: Final = 0.6


@attrs.frozen(kw_only=True)
class SettingProblem:
    """Invalid, unknown or missing setting.

    Attributes:
        path: location of the setting in the file, such as `timeouts.idle_ms`.
        message: description of the problem.
        allowed: description of the values that are allowed.
    """

    path: str
    message: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return f'{self.path}: {self.message}; allowed: {self.allowed}'


def setting_problems(
    err: Exception,
    target_type: Any,
    path: str = '',
) -> tuple[SettingProblem, ...]:
    """Convert an exception of cattrs to messages.

    Args:
        err: exception that a conversion raised.
        target_type: type that the conversion should return.
        path: location in the document at which the conversion started.

    Returns:
        All problems, in the order of the fields of the classes.
    """
    return tuple(_collect_problems(err, target_type, path))


def _collect_problems(
    err: Exception, target_type: Any, path: str
) -> Iterator[SettingProblem]:
    if isinstance(err, ClassValidationError | IterableValidationError):
        yield from _collect_group_problems(err, target_type, path)
    elif isinstance(err, ForbiddenExtraKeysError):
        for key in sorted(err.extra_fields):
            yield _unknown_key_problem(key, err.cl, path)
    elif isinstance(err, KeyError):
        yield _setting_problem(path, 'is missing', target_type)
    else:
        yield _setting_problem(path, str(err), target_type)


def _collect_group_problems(
    group: ClassValidationError | IterableValidationError,
    target_type: Any,
    path: str,
) -> Iterator[SettingProblem]:
    named, others = group.group_exceptions()
    for member, note in named:
        yield from _collect_problems(member, note.type, _join_note(path, note))
    for other in others:
        yield from _collect_problems(other, target_type, path)


def _join_note(
    path: str, note: AttributeValidationNote | IterableValidationNote
) -> str:
    if isinstance(note, IterableValidationNote):
        return f'{path}[{note.index}]'
    return _join_name(path, note.name)


def _join_name(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _setting_problem(
    path: str, message: str, target_type: Any
) -> SettingProblem:
    return SettingProblem(
        path=path, message=message, allowed=describe_allowed(target_type)
    )


def _unknown_key_problem(key: str, table: type, path: str) -> SettingProblem:
    known = list(attrs.fields_dict(table))
    matches = difflib.get_close_matches(key, known, n=1, cutoff=_MIN_SIMILARITY)
    hint = f' (did you mean {matches[0]}?)' if matches else ''
    return SettingProblem(
        path=_join_name(path, key),
        message=f'is unknown{hint}',
        allowed=', '.join(known),
    )
