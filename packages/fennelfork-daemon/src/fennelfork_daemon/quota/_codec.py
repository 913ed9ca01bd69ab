"""Encoding of the messages about permits as JSON."""

from typing import Any, Final

from returns.result import Failure, Result, Success

from fennelfork.workspaces import PermitAsk, PermitGrant, PermitNeed

_DECODE_ERRORS: Final = (AttributeError, KeyError, TypeError, ValueError)
# Numbers of a need, in their order.
_COUNTS: Final = ('needed', 'held', 'returned', 'wanted')


def encode_ask(ask: PermitAsk) -> dict[str, Any]:
    """Encode a message to an owner."""
    return {
        'holder': ask.holder,
        'incarnation': ask.incarnation,
        'number': ask.number,
        'needs': [
            [need.workspace, need.needed, need.held, need.returned, need.wanted]
            for need in ask.needs
        ],
    }


def decode_ask(tree: Any) -> Result[PermitAsk, str]:
    """Decode a message to an owner, or return why it is invalid."""
    try:
        return Success(_read_ask(tree))
    except _DECODE_ERRORS as error:
        return Failure(f'the message about permits is invalid: {error!r}')


def encode_grants(grants: tuple[PermitGrant, ...]) -> dict[str, Any]:
    """Encode the answer of an owner."""
    return {
        'grants': [
            [grant.workspace, grant.granted, grant.held, round(grant.retry_ms)]
            for grant in grants
        ],
    }


def decode_grants(tree: Any) -> Result[tuple[PermitGrant, ...], str]:
    """Decode the answer of an owner, or return why it is invalid."""
    try:
        return Success(tuple(map(_read_grant, tree['grants'])))
    except _DECODE_ERRORS as error:
        return Failure(f'the answer about permits is invalid: {error!r}')


def _read_ask(tree: Any) -> PermitAsk:
    return PermitAsk(
        holder=_read_name(tree['holder']),
        incarnation=_read_count(tree['incarnation']),
        number=_read_count(tree['number']),
        needs=tuple(map(_read_need, tree['needs'])),
    )


def _read_need(item: Any) -> PermitNeed:
    workspace, *numbers = item
    counts = zip(_COUNTS, map(_read_count, numbers), strict=True)
    return PermitNeed(workspace=_read_name(workspace), **dict(counts))


def _read_grant(item: Any) -> PermitGrant:
    workspace, granted, held, retry_ms = item
    return PermitGrant(
        workspace=_read_name(workspace),
        granted=_read_count(granted),
        held=_read_count(held),
        retry_ms=_read_count(retry_ms),
    )


def _read_name(given: Any) -> str:
    if not isinstance(given, str):
        raise TypeError(f'expected a name, not {given!r}')
    return given


def _read_count(given: Any) -> int:
    # A boolean is an int in Python.
    if type(given) is not int or given < 0:  # noqa: WPS516
        raise ValueError(f'expected a number from 0 on, not {given!r}')
    return given
