"""Validation rules for single settings."""

import functools
from typing import Any, Final

import attrs

from fennelfork_daemon._address import Address, address

MAX_TEXT_LENGTH: Final = 64
_INNER_PUNCTUATION: Final = '._-'


@attrs.frozen(kw_only=True)
class RangeRule:
    """Range of whole numbers that includes both bounds.

    Attributes:
        minimum: smallest value that is allowed.
        maximum: largest value that is allowed.
        unit: unit of the value, for error messages.
    """

    minimum: int
    maximum: int
    unit: str


@attrs.frozen(kw_only=True)
class AddressRule:
    """IP address with a port number of at least `min_port`."""

    min_port: int


@attrs.frozen(kw_only=True)
class LabelRule:
    """Short name that is safe to use in addresses, logs and metrics."""


@attrs.frozen(kw_only=True)
class PrefixRule:
    """String that begins with `prefix`."""

    prefix: str


class SettingError(ValueError):
    """Value that violates the rule of the setting."""


@functools.singledispatch
def check_value(rule: Any, raw: Any) -> Any:
    """Validate a value that was read from a settings file.

    Args:
        rule: rule that the value must satisfy.
        raw: value as returned by the TOML parser.

    Returns:
        The value, converted to the type of the setting.

    Raises:
        SettingError: if the value violates the rule.
        NotImplementedError: if the type of the rule is unknown.
    """
    raise NotImplementedError(type(rule))


@check_value.register
def _check_range(rule: RangeRule, raw: Any) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise SettingError(f'{raw!r} is not a whole number of {rule.unit}')
    if not rule.minimum <= raw <= rule.maximum:
        raise SettingError(f'{raw} is out of range')
    return raw


@check_value.register
def _check_address(rule: AddressRule, raw: Any) -> Address:
    parsed = address(_check_text(raw))
    if parsed.port < rule.min_port:
        raise SettingError(f'port {parsed.port} is not allowed')
    return parsed


@check_value.register
def _check_label(rule: LabelRule, raw: Any) -> str:
    text = _check_text(raw)
    if text.strip(_INNER_PUNCTUATION) != text:
        raise SettingError(
            f'{text!r} does not begin and end with a letter or digit'
        )
    alphanumerics = ''.join(
        character for character in text if character not in _INNER_PUNCTUATION
    )
    if not (alphanumerics.isascii() and alphanumerics.isalnum()):
        raise SettingError(f'{text!r} contains characters that are not allowed')
    return text


@check_value.register
def _check_prefix(rule: PrefixRule, raw: Any) -> str:
    text = _check_text(raw)
    if not text.startswith(rule.prefix):
        raise SettingError(f'{text!r} does not begin with {rule.prefix!r}')
    return text


def _check_text(raw: Any) -> str:
    if not isinstance(raw, str):
        raise SettingError(f'{raw!r} is not a string')
    if not 1 <= len(raw) <= MAX_TEXT_LENGTH:
        raise SettingError(
            f'a string of {len(raw)} characters is empty or too long'
        )
    return raw


def rules_of_type(target_type: Any) -> tuple[Any, ...]:
    """Return the rules in the metadata of an annotated type."""
    return getattr(target_type, '__metadata__', ())
