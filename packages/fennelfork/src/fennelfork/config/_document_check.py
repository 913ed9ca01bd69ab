"""Whether a value of the configuration document keeps its rule."""

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
    """Tell whether a rule allows a value, without converting it.

    Args:
        rule: one of the rule classes.
        candidate: the value as JSON gave it.

    Returns:
        Whether type and range fit.

    Raises:
        TypeError: if `rule` is no rule.
    """
    raise TypeError(f'not a rule: {rule!r}')


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
