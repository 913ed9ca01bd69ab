"""Validation of single values of the configuration document."""

import functools
import ipaddress
import re
from typing import Any, Final

from fennelfork.config._document_rule import (
    Fraction,
    NonEmpty,
    OneOf,
    SocketAddress,
    Text,
    WholeNumber,
)

_MAX_PORT: Final = 65535
_PORT: Final = re.compile('[0-9]{1,5}')


@functools.singledispatch
def is_allowed(rule: Any, candidate: Any) -> bool:
    """Whether a rule allows a value; the value is not converted.

    Args:
        rule: instance of one of the rule classes.
        candidate: value decoded from JSON.

    Returns:
        Whether the type and the range of the value satisfy the rule.

    Raises:
        TypeError: if `rule` is not an instance of a rule class.
    """
    raise TypeError(f'expected an instance of a rule class, got {rule!r}')


@is_allowed.register
def _(rule: WholeNumber, candidate: Any) -> bool:
    if isinstance(candidate, bool) or not isinstance(candidate, int):
        return False
    return rule.minimum <= candidate <= rule.maximum


@is_allowed.register
def _(rule: Fraction, candidate: Any) -> bool:
    if isinstance(candidate, bool) or not isinstance(candidate, int | float):
        return False
    return rule.minimum <= candidate <= rule.maximum


@is_allowed.register
def _(rule: Text, candidate: Any) -> bool:
    if not isinstance(candidate, str):
        return False
    return re.fullmatch(rule.pattern, candidate) is not None


@is_allowed.register
def _(rule: OneOf, candidate: Any) -> bool:
    return candidate in rule.choices


@is_allowed.register
def _(rule: SocketAddress, candidate: Any) -> bool:
    if not isinstance(candidate, str):
        return False
    host, _separator, port = candidate.rpartition(':')
    return _is_port(port) and _is_ip(host.removeprefix('[').removesuffix(']'))


@is_allowed.register
def _(rule: NonEmpty, candidate: Any) -> bool:
    return isinstance(candidate, dict) and bool(candidate)


def _is_port(port: str) -> bool:
    return _PORT.fullmatch(port) is not None and 0 < int(port) <= _MAX_PORT


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
