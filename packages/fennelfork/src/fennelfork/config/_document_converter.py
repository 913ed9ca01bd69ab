"""Conversion of JSON trees to the classes of the configuration document.

The converter does not coerce types ("5" is not 5, true is not 1) and reports
all problems of a tree together.
"""

import json
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Final, TypeVar

import attrs
import cattrs
from returns.result import Failure, Result, Success

from fennelfork.config._document_check import is_allowed
from fennelfork.config._document_problem import (
    Problem,
    RuleViolationError,
    allowed_by,
    has_rule,
    problems_of,
)

_MAX_SHOWN_CHARACTERS: Final = 80

_Target = TypeVar('_Target')
_Hook = Callable[[Any, Any], Any]
_ElementHook = Callable[[Any], Any]


def document_converter() -> cattrs.Converter:
    """Build a converter that validates types and rules, and rejects extra keys."""
    converter = cattrs.Converter(
        forbid_extra_keys=True,
        detailed_validation=True,
    )
    factory = converter.register_structure_hook_factory
    factory(attrs.has, _attrs_hook)
    factory(partial(_is_container, Mapping), _mapping_hook)
    factory(partial(_is_container, tuple), _tuple_hook)
    factory(has_rule, _rule_hook)
    return converter


def checked_structure(
    converter: cattrs.Converter,
    tree: Any,
    target: type[_Target],
) -> Result[_Target, tuple[Problem, ...]]:
    """Convert a JSON tree to an instance of an attrs class.

    Args:
        converter: converter built by `document_converter`.
        tree: decoded JSON value.
        target: attrs class to instantiate.

    Returns:
        The instance, or all problems of the tree.
    """
    try:
        structured = converter.structure(tree, target)
    except (cattrs.BaseValidationError, RuleViolationError) as error:
        return Failure(tuple(problems_of(error)))
    return Success(structured)


def _is_container(kind: type, target: Any) -> bool:
    origin = getattr(target, '__origin__', None)
    return isinstance(origin, type) and issubclass(origin, kind)


def _attrs_hook(target: Any, converter: cattrs.Converter) -> _Hook:
    hook = cattrs.gen.make_dict_structure_fn(target, converter)
    return partial(_pass_instance, target, partial(_require_type, dict, hook))


def _tuple_hook(target: Any, converter: cattrs.Converter) -> _Hook:
    factory = cattrs.cols.homogenous_tuple_structure_factory
    return partial(_require_type, list, factory(target, converter))


def _mapping_hook(target: Any, converter: cattrs.Converter) -> _Hook:
    key_type, entry_type = target.__args__
    key_hook = partial(converter.structure, cl=key_type)
    entry_hook = partial(converter.structure, cl=entry_type)
    return partial(
        _require_type, dict, partial(_structure_entries, key_hook, entry_hook)
    )


def _rule_hook(target: Any, converter: cattrs.Converter) -> _Hook:
    inner = target.__origin__
    hook = inner
    if not isinstance(inner, type):
        hook = partial(converter.structure, cl=inner)
    return partial(_require_rule, target, hook)


def _pass_instance(kind: type, hook: _Hook, candidate: Any, target: Any) -> Any:
    """Return instances of `kind` unchanged and convert all other values."""
    return candidate if isinstance(candidate, kind) else hook(candidate, target)


def _require_type(
    json_type: type, hook: Any, candidate: Any, target: Any
) -> Any:
    if not isinstance(candidate, json_type):
        raise _build_violation(candidate, target)
    return hook(candidate, target)


def _require_rule(
    annotated: Any, hook: Any, candidate: Any, _target: Any
) -> Any:
    if not is_allowed(annotated.__metadata__[0], candidate):
        raise _build_violation(candidate, annotated)
    return hook(candidate)


def _structure_entries(
    key_hook: _ElementHook,
    entry_hook: _ElementHook,
    table: dict[str, Any],
    target: Any,
) -> Any:
    errors: list[Exception] = []
    entries = {}
    for key, entry in table.items():
        for hook, part in ((key_hook, key), (entry_hook, entry)):
            try:
                entries[key] = hook(part)
            except (
                cattrs.BaseValidationError,
                RuleViolationError,
            ) as violation:
                violation.add_note(
                    cattrs.IterableValidationNote('', key, target)
                )
                errors.append(violation)
    if errors:
        raise cattrs.IterableValidationError('entries', errors, dict)
    return entries


def _build_violation(candidate: Any, target: Any) -> RuleViolationError:
    encoded = json.dumps(candidate)
    if len(encoded) > _MAX_SHOWN_CHARACTERS:
        encoded = f'{encoded[:_MAX_SHOWN_CHARACTERS]}...'
    return RuleViolationError(f'{encoded} is not allowed', allowed_by(target))
