"""Descriptions of the values that a setting allows, for messages."""

import enum
import functools
from typing import Any, get_args, get_origin

import attrs

from fennelfork_daemon._address import MAX_PORT
from fennelfork_daemon.settings._rules import (
    MAX_TEXT_LENGTH,
    AddressRule,
    LabelRule,
    PrefixRule,
    RangeRule,
    rules_of_type,
)


def describe_allowed(target_type: Any) -> str:
    """Describe the values that a setting of type `target_type` allows."""
    if rules_of_type(target_type):
        return describe_rule(rules_of_type(target_type)[0])
    if attrs.has(target_type):
        names = attrs.fields_dict(target_type)
        return f'a table of {", ".join(names)}'
    if get_origin(target_type) is tuple:
        return f'a list of {describe_allowed(get_args(target_type)[0])}'
    return _describe_choices(target_type)


@functools.singledispatch
def describe_rule(rule: Any) -> str:
    """Describe the values that a rule allows.

    Raises:
        NotImplementedError: if the type of the rule is unknown.
    """
    raise NotImplementedError(type(rule))


@describe_rule.register
def _describe_range(rule: RangeRule) -> str:
    return f'a whole number of {rule.unit}, {rule.minimum} to {rule.maximum}'


@describe_rule.register
def _describe_address(rule: AddressRule) -> str:
    return f'"ip:port" with a port of {rule.min_port} to {MAX_PORT}'


@describe_rule.register
def _describe_label(rule: LabelRule) -> str:
    return (
        f'1 to {MAX_TEXT_LENGTH} letters, digits, ".", "_" or "-", '
        'with a letter or digit at both ends'
    )


@describe_rule.register
def _describe_prefix(rule: PrefixRule) -> str:
    return f'1 to {MAX_TEXT_LENGTH} characters that begin with "{rule.prefix}"'


def _describe_choices(target_type: type[enum.Enum]) -> str:
    return ' or '.join(f'"{member.value}"' for member in target_type)
