"""Conversion of a parsed TOML document to attrs classes, without guessing."""

from typing import Any, get_args, get_origin

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from fennelfork_daemon.settings._rules import SettingError, checked, rules_of


def settings_converter() -> cattrs.Converter:
    """Build the converter that reads settings.

    Returns:
        A converter that refuses unknown keys and never turns one type into
        another, so that `"5"` is not 5 and `true` is not 1.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda wanted: _TableReader(wanted=wanted, converter=converter),
    )
    converter.register_structure_hook_func(
        lambda wanted: bool(rules_of(wanted)),
        lambda found, wanted: checked(rules_of(wanted)[0], found),
    )
    converter.register_structure_hook_func(
        lambda wanted: get_origin(wanted) is tuple,
        lambda found, wanted: _read_list(found, wanted, converter),
    )
    return converter


@attrs.frozen(kw_only=True)
class _TableReader:
    """Reads one table into the attrs class `wanted`."""

    _wanted: type
    _converter: cattrs.Converter
    _structure: Any = attrs.field(init=False)

    def __call__(self, found: Any, wanted: Any) -> Any:
        """Read `found`, which has to be a table."""
        if not isinstance(found, dict):
            raise SettingError(f'{found!r} is not a table')
        return self._structure(found, wanted)

    @_structure.default
    def _build(self) -> Any:
        return make_dict_structure_fn(
            self._wanted,
            self._converter,
            _cattrs_forbid_extra_keys=True,
        )


def _read_list(
    found: Any,
    wanted: Any,
    converter: cattrs.Converter,
) -> tuple[Any, ...]:
    if not isinstance(found, list) or not found:
        raise SettingError(f'{found!r} is not a list of one or more')
    member = get_args(wanted)[0]
    return tuple(converter.structure(found, list[member]))
