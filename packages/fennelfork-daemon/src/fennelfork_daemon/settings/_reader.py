"""Conversion of a parsed TOML document to attrs classes."""

from typing import Any, get_args, get_origin

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from fennelfork_daemon.settings._rules import (
    SettingError,
    check_value,
    rules_of_type,
)


def settings_converter() -> cattrs.Converter:
    """Build the converter for settings.

    Returns:
        A converter that rejects unknown keys and never coerces a value to
        another type: `"5"` is not read as 5 and `true` is not read as 1.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda target_type: _TableReader(
            target_type=target_type, converter=converter
        ),
    )
    converter.register_structure_hook_func(
        lambda target_type: bool(rules_of_type(target_type)),
        lambda raw, target_type: check_value(
            rules_of_type(target_type)[0], raw
        ),
    )
    converter.register_structure_hook_func(
        lambda target_type: get_origin(target_type) is tuple,
        lambda raw, target_type: _read_list(raw, target_type, converter),
    )
    return converter


@attrs.frozen(kw_only=True)
class _TableReader:
    """Converts one table to the attrs class `target_type`."""

    _target_type: type
    _converter: cattrs.Converter
    _structure: Any = attrs.field(init=False)

    def __call__(self, raw: Any, target_type: Any) -> Any:
        """Read `raw`, which must be a table."""
        if not isinstance(raw, dict):
            raise SettingError(f'{raw!r} is not a table')
        return self._structure(raw, target_type)

    @_structure.default
    def _build(self) -> Any:
        return make_dict_structure_fn(
            self._target_type,
            self._converter,
            _cattrs_forbid_extra_keys=True,
        )


def _read_list(
    raw: Any,
    target_type: Any,
    converter: cattrs.Converter,
) -> tuple[Any, ...]:
    if not isinstance(raw, list) or not raw:
        raise SettingError(f'{raw!r} is not a list of at least one item')
    member = get_args(target_type)[0]
    return tuple(converter.structure(raw, list[member]))
