"""Rules that single settings are checked against."""

import functools
from typing import Any, Final

import attrs

from fennelfork_daemon._address import Address, address

TEXT_LENGTH: Final = 64
_INNER_SIGNS: Final = '._-'


@attrs.frozen(kw_only=True)
class SpanRule:
    """A whole number between two bounds, both allowed.

    Attributes:
        lowest: the smallest value.
        highest: the largest value.
        unit: what is counted, for messages.
    """

    lowest: int
    highest: int
    unit: str


@attrs.frozen(kw_only=True)
class AddressRule:
    """An IP number and a port of at least `lowest_port`."""

    lowest_port: int


@attrs.frozen(kw_only=True)
class LabelRule:
    """A short name that is safe in addresses, logs and metrics."""


@attrs.frozen(kw_only=True)
class PrefixRule:
    """A text that begins with `start`."""

    start: str


class SettingError(ValueError):
    """A value that its rule does not allow."""


@functools.singledispatch
def checked(rule: Any, found: Any) -> Any:
    """Check a value that was read from a file.

    Args:
        rule: what the value has to meet.
        found: the value as TOML gave it.

    Returns:
        The value in the type that the program works with.

    Raises:
        SettingError: if the rule does not allow the value.
        NotImplementedError: if there is no such kind of rule.
    """
    raise NotImplementedError(type(rule))


@checked.register
def _checked_span(rule: SpanRule, found: Any) -> int:
    if isinstance(found, bool) or not isinstance(found, int):
        raise SettingError(f'{found!r} is not a whole number of {rule.unit}')
    if not rule.lowest <= found <= rule.highest:
        raise SettingError(f'{found} is out of range')
    return found


@checked.register
def _checked_address(rule: AddressRule, found: Any) -> Address:
    read = address(_text(found))
    if read.port < rule.lowest_port:
        raise SettingError(f'port {read.port} is not allowed')
    return read


@checked.register
def _checked_label(rule: LabelRule, found: Any) -> str:
    text = _text(found)
    if text.strip(_INNER_SIGNS) != text:
        raise SettingError(f'{text!r} begins or ends with a sign')
    plain = ''.join(sign for sign in text if sign not in _INNER_SIGNS)
    if not (plain.isascii() and plain.isalnum()):
        raise SettingError(f'{text!r} has signs that are not allowed')
    return text


@checked.register
def _checked_prefix(rule: PrefixRule, found: Any) -> str:
    text = _text(found)
    if not text.startswith(rule.start):
        raise SettingError(f'{text!r} does not begin with {rule.start!r}')
    return text


def _text(found: Any) -> str:
    if not isinstance(found, str):
        raise SettingError(f'{found!r} is not a text')
    if not 1 <= len(found) <= TEXT_LENGTH:
        raise SettingError(f'a text of {len(found)} characters')
    return found


def rules_of(wanted: Any) -> tuple[Any, ...]:
    """Give the rules that an annotated type carries."""
    return getattr(wanted, '__metadata__', ())
