"""What is wrong with a settings file, one message a value."""

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

from fennelfork_daemon.settings._descriptions import allowed

_LIKENESS: Final = 0.6


@attrs.frozen(kw_only=True)
class SettingProblem:
    """One wrong, unknown or missing setting.

    Attributes:
        path: its place in the file, such as `timeouts.idle_ms`.
        message: what is wrong with it.
        allowed: what may stand there.
    """

    path: str
    message: str
    allowed: str

    def __str__(self) -> str:
        """Give one line for a person."""
        return f'{self.path}: {self.message}; allowed: {self.allowed}'


def setting_problems(
    err: Exception,
    wanted: Any,
    path: str = '',
) -> tuple[SettingProblem, ...]:
    """Turn what cattrs raised into messages.

    Args:
        err: the exception of a conversion.
        wanted: the type that was asked for.
        path: where in the document the conversion began.

    Returns:
        Every problem, in the order of the classes' fields.
    """
    return tuple(_walk(err, wanted, path))


def _walk(err: Exception, wanted: Any, path: str) -> Iterator[SettingProblem]:
    if isinstance(err, ClassValidationError | IterableValidationError):
        yield from _walk_group(err, wanted, path)
    elif isinstance(err, ForbiddenExtraKeysError):
        for key in sorted(err.extra_fields):
            yield _unknown(key, err.cl, path)
    elif isinstance(err, KeyError):
        yield _problem(path, 'is missing', wanted)
    else:
        yield _problem(path, str(err), wanted)


def _walk_group(
    group: ClassValidationError | IterableValidationError,
    wanted: Any,
    path: str,
) -> Iterator[SettingProblem]:
    named, others = group.group_exceptions()
    for member, note in named:
        yield from _walk(member, note.type, _join(path, note))
    for other in others:
        yield from _walk(other, wanted, path)


def _join(
    path: str, note: AttributeValidationNote | IterableValidationNote
) -> str:
    if isinstance(note, IterableValidationNote):
        return f'{path}[{note.index}]'
    return _under(path, note.name)


def _under(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _problem(path: str, message: str, wanted: Any) -> SettingProblem:
    return SettingProblem(path=path, message=message, allowed=allowed(wanted))


def _unknown(key: str, table: type, path: str) -> SettingProblem:
    known = list(attrs.fields_dict(table))
    near = difflib.get_close_matches(key, known, n=1, cutoff=_LIKENESS)
    hint = f' (did you mean {near[0]}?)' if near else ''
    return SettingProblem(
        path=_under(path, key),
        message=f'is unknown{hint}',
        allowed=', '.join(known),
    )
