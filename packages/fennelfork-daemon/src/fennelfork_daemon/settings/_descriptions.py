"""What a setting may be, in words."""

import enum
import functools
from typing import Any, get_args, get_origin

import attrs

from fennelfork_daemon._address import HIGHEST_PORT
from fennelfork_daemon.settings._rules import (
    TEXT_LENGTH,
    AddressRule,
    LabelRule,
    PrefixRule,
    SpanRule,
    rules_of,
)


def allowed(wanted: Any) -> str:
    """Say in words what a setting of type `wanted` may be."""
    if rules_of(wanted):
        return rule_text(rules_of(wanted)[0])
    if attrs.has(wanted):
        names = attrs.fields_dict(wanted)
        return f'a table of {", ".join(names)}'
    if get_origin(wanted) is tuple:
        return f'a list of {allowed(get_args(wanted)[0])}'
    return _choices(wanted)


@functools.singledispatch
def rule_text(rule: Any) -> str:
    """Say in words what a rule allows.

    Raises:
        NotImplementedError: if there is no such kind of rule.
    """
    raise NotImplementedError(type(rule))


@rule_text.register
def _span_text(rule: SpanRule) -> str:
    return f'a whole number of {rule.unit}, {rule.lowest} to {rule.highest}'


@rule_text.register
def _address_text(rule: AddressRule) -> str:
    return f'"ip:port" with a port of {rule.lowest_port} to {HIGHEST_PORT}'


@rule_text.register
def _label_text(rule: LabelRule) -> str:
    return (
        f'1 to {TEXT_LENGTH} letters, digits, ".", "_" or "-", '
        'with a letter or digit at both ends'
    )


@rule_text.register
def _prefix_text(rule: PrefixRule) -> str:
    return f'1 to {TEXT_LENGTH} characters that begin with "{rule.start}"'


def _choices(wanted: type[enum.Enum]) -> str:
    return ' or '.join(f'"{member.value}"' for member in wanted)
