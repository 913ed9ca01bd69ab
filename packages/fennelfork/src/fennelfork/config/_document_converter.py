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

from fennelfork.config._document_check import accepts
from fennelfork.config._document_problem import (
    Problem,
    RuleBroken,
    allowed_by,
    has_rule,
    problems_of,
)

_SHOWN_CHARACTERS: Final = 80

_Wanted = TypeVar('_Wanted')
_Hook = Callable[[Any, Any], Any]
_OneHook = Callable[[Any], Any]


def document_converter() -> cattrs.Converter:
    """Build a converter that checks types, ranges and unknown keys."""
    converter = cattrs.Converter(
        forbid_extra_keys=True,
        detailed_validation=True,
    )
    factory = converter.register_structure_hook_factory
    factory(attrs.has, _table_of_fields)
    factory(partial(_is_container, Mapping), _table)
    factory(partial(_is_container, tuple), _list)
    factory(has_rule, _ruled)
    return converter


def checked_structure(
    converter: cattrs.Converter,
    tree: Any,
    wanted: type[_Wanted],
) -> Result[_Wanted, tuple[Problem, ...]]:
    """Check a JSON tree against an attrs class.

    Args:
        converter: one from `document_converter`.
        tree: what the JSON held.
        wanted: the class.

    Returns:
        An instance, or every fault of the tree at once.
    """
    try:
        structured = converter.structure(tree, wanted)
    except (cattrs.BaseValidationError, RuleBroken) as error:
        return Failure(tuple(problems_of(error)))
    return Success(structured)


def _is_container(kind: type, wanted: Any) -> bool:
    origin = getattr(wanted, '__origin__', None)
    return isinstance(origin, type) and issubclass(origin, kind)


def _table_of_fields(wanted: Any, converter: cattrs.Converter) -> _Hook:
    hook = cattrs.gen.make_dict_structure_fn(wanted, converter)
    return partial(_structured, wanted, partial(_shaped, dict, hook))


def _list(wanted: Any, converter: cattrs.Converter) -> _Hook:
    factory = cattrs.cols.homogenous_tuple_structure_factory
    return partial(_shaped, list, factory(wanted, converter))


def _table(wanted: Any, converter: cattrs.Converter) -> _Hook:
    key_type, entry_type = wanted.__args__
    key_hook = partial(converter.structure, cl=key_type)
    entry_hook = partial(converter.structure, cl=entry_type)
    return partial(_shaped, dict, partial(_entries, key_hook, entry_hook))


def _ruled(wanted: Any, converter: cattrs.Converter) -> _Hook:
    inner = wanted.__origin__
    hook = inner
    if not isinstance(inner, type):
        hook = partial(converter.structure, cl=inner)
    return partial(_checked, wanted, hook)


def _structured(kind: type, hook: _Hook, candidate: Any, wanted: Any) -> Any:
    """Let pass what was checked before."""
    return candidate if isinstance(candidate, kind) else hook(candidate, wanted)


def _shaped(shape: type, hook: Any, candidate: Any, wanted: Any) -> Any:
    if not isinstance(candidate, shape):
        raise _broken(candidate, wanted)
    return hook(candidate, wanted)


def _checked(annotated: Any, hook: Any, candidate: Any, _wanted: Any) -> Any:
    if not accepts(annotated.__metadata__[0], candidate):
        raise _broken(candidate, annotated)
    return hook(candidate)


def _entries(
    key_hook: _OneHook,
    entry_hook: _OneHook,
    table: dict[str, Any],
    wanted: Any,
) -> Any:
    faults: list[Exception] = []
    entries = {}
    for key, entry in table.items():
        for hook, part in ((key_hook, key), (entry_hook, entry)):
            try:
                entries[key] = hook(part)
            except (cattrs.BaseValidationError, RuleBroken) as fault:
                fault.add_note(cattrs.IterableValidationNote('', key, wanted))
                faults.append(fault)
    if faults:
        raise cattrs.IterableValidationError('entries', faults, dict)
    return entries


def _broken(candidate: Any, wanted: Any) -> RuleBroken:
    shown = json.dumps(candidate)
    if len(shown) > _SHOWN_CHARACTERS:
        shown = f'{shown[:_SHOWN_CHARACTERS]}...'
    return RuleBroken(f'{shown} is not allowed', allowed_by(wanted))
