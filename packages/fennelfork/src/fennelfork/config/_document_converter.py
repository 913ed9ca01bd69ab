"""The converter between JSON trees and the classes of the document.

It takes no value for another (no "5" for 5, no true for 1) and reports every
fault of a tree at once.
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
    """Build a converter that checks types, ranges and unknown keys."""
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
    """Check a JSON tree against an attrs class.

    Args:
        converter: one from `document_converter`.
        tree: what the JSON held.
        wanted: the class.

    Returns:
        An instance, or every fault of the tree at once.
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
    """Let pass what was checked before."""
    return candidate if isinstance(candidate, kind) else hook(candidate, target)


def _require_type(
    json_type: type, hook: Any, candidate: Any, target: Any
) -> Any:
    if not isinstance(candidate, json_type):
        raise _violation(candidate, target)
    return hook(candidate, target)


def _require_rule(
    annotated: Any, hook: Any, candidate: Any, _target: Any
) -> Any:
    if not is_allowed(annotated.__metadata__[0], candidate):
        raise _violation(candidate, annotated)
    return hook(candidate)


def _structure_entries(
    key_hook: _ElementHook,
    entry_hook: _ElementHook,
    table: dict[str, Any],
    target: Any,
) -> Any:
    faults: list[Exception] = []
    entries = {}
    for key, entry in table.items():
        for hook, part in ((key_hook, key), (entry_hook, entry)):
            try:
                entries[key] = hook(part)
            except (cattrs.BaseValidationError, RuleViolationError) as fault:
                fault.add_note(cattrs.IterableValidationNote('', key, target))
                faults.append(fault)
    if faults:
        raise cattrs.IterableValidationError('entries', faults, dict)
    return entries


def _violation(candidate: Any, target: Any) -> RuleViolationError:
    shown = json.dumps(candidate)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = f'{shown[:_MAX_SHOWN_CHARACTERS]}...'
    return RuleViolationError(f'{shown} is not allowed', allowed_by(target))
