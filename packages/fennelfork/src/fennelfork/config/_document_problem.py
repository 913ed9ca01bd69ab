"""Problems of a configuration document with their paths."""

from collections.abc import Iterator
from typing import Any

import attrs
from cattrs import (
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.errors import AttributeValidationNote

_Note = AttributeValidationNote | IterableValidationNote


@attrs.frozen(kw_only=True)
class Problem:
    """A validation problem of a document.

    Attributes:
        path: keys joined by dots; empty for the document itself.
        detail: description of the problem.
        allowed: description of the allowed values.
    """

    path: str
    detail: str
    allowed: str


class RuleViolationError(ValueError):
    """Raised for a value that violates the rule of its field."""

    def __init__(self, detail: str, allowed: str) -> None:
        """Store the description of the problem and of the allowed values."""
        super().__init__(detail)
        self.allowed = allowed


def problems_of(error: Exception, path: str = '') -> Iterator[Problem]:
    """Flatten a nested validation error to problems.

    Args:
        error: exception raised by the converter.
        path: path of the value for which `error` was raised.

    Yields:
        One problem for each leaf of the nested error.
    """
    if not isinstance(error, BaseValidationError):
        yield from _leaf_problems(error, path)
        return
    for inner in error.exceptions:
        yield from problems_of(inner, _nested_path(inner, path))


def has_rule(target: Any) -> bool:
    """Whether the annotated type of a field contains a rule."""
    return bool(getattr(target, '__metadata__', ()))


def allowed_by(target: Any) -> str:
    """Describe the allowed values of a field.

    Args:
        target: annotated type of the field.

    Returns:
        A phrase that completes "must be ...".
    """
    if has_rule(target):
        return str(target.__metadata__[0].description)
    if getattr(target, '__origin__', None) is tuple:
        return 'a JSON array'
    return 'a JSON object'


def _leaf_problems(error: Exception, path: str) -> Iterator[Problem]:
    if isinstance(error, ForbiddenExtraKeysError):
        yield from _unknown_key_problems(error, path)
    elif isinstance(error, RuleViolationError):
        yield Problem(path=path, detail=str(error), allowed=error.allowed)
    elif isinstance(error, KeyError):
        yield Problem(
            path=path, detail='missing', allowed=_allowed_for_missing(error)
        )
    else:
        raise error


def _nested_path(inner: Exception, path: str) -> str:
    note = _validation_note(inner)
    if note is None:
        return path
    if isinstance(note, AttributeValidationNote):
        return _join_path(path, note.name)
    return _join_path(path, str(note.index))


def _validation_note(error: Exception) -> _Note | None:
    notes: list[Any] = getattr(error, '__notes__', [])
    for note in notes:
        if isinstance(note, _Note):
            return note
    return None


def _join_path(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _unknown_key_problems(
    error: ForbiddenExtraKeysError,
    path: str,
) -> Iterator[Problem]:
    known_keys = ', '.join(field.name for field in attrs.fields(error.cl))
    for key in sorted(error.extra_fields):
        yield Problem(
            path=_join_path(path, key),
            detail='unknown key',
            allowed=f'one of {known_keys}',
        )


def _allowed_for_missing(error: KeyError) -> str:
    note = _validation_note(error)
    return 'a value' if note is None else allowed_by(note.type)
