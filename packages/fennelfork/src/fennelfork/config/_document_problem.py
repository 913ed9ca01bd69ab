"""What is wrong with a configuration document, each with its path."""

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
    """One fault of a document.

    Attributes:
        path: where, keys joined by dots; empty for the document itself.
        detail: what is wrong.
        allowed: what would be accepted there.
    """

    path: str
    detail: str
    allowed: str


class RuleViolationError(ValueError):
    """A value of a document that its rule does not allow."""

    def __init__(self, detail: str, allowed: str) -> None:
        """Keep what was found and what is allowed."""
        super().__init__(detail)
        self.allowed = allowed


def problems_of(error: Exception, path: str = '') -> Iterator[Problem]:
    """Walk a validation error down to its single faults.

    Args:
        error: what the converter raised.
        path: where `error` was raised.

    Yields:
        One problem for each fault.
    """
    if not isinstance(error, BaseValidationError):
        yield from _leaf_problems(error, path)
        return
    for inner in error.exceptions:
        yield from problems_of(inner, _nested_path(inner, path))


def has_rule(target: Any) -> bool:
    """Tell whether a field's type carries a rule in its annotation."""
    return bool(getattr(target, '__metadata__', ()))


def allowed_by(target: Any) -> str:
    """Say in words what a field of a document may hold.

    Args:
        wanted: the annotated type of the field.

    Returns:
        A phrase that completes "must be ...".
    """
    if has_rule(target):
        return str(target.__metadata__[0].description)
    if getattr(target, '__origin__', None) is tuple:
        return 'a list'
    return 'a table'


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
        return _join(path, note.name)
    return _join(path, str(note.index))


def _validation_note(error: Exception) -> _Note | None:
    notes: list[Any] = getattr(error, '__notes__', [])
    for note in notes:
        if isinstance(note, _Note):
            return note
    return None


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _unknown_key_problems(
    error: ForbiddenExtraKeysError,
    path: str,
) -> Iterator[Problem]:
    known_keys = ', '.join(field.name for field in attrs.fields(error.cl))
    for key in sorted(error.extra_fields):
        yield Problem(
            path=_join(path, key),
            detail='unknown key',
            allowed=f'one of {known_keys}',
        )


def _allowed_for_missing(error: KeyError) -> str:
    note = _validation_note(error)
    return 'a value' if note is None else allowed_by(note.type)
