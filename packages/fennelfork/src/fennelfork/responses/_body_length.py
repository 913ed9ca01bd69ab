"""Length of the body of a response, from its head (RFC 9112, section 6.3)."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Final

import attrs

from fennelfork.responses._grammar import MalformedMessage

_OPTIONAL_WHITESPACE: Final = ' \t'
_MAX_LENGTH_DIGITS: Final = 18


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Parts of the head of a response that determine the length of its body.

    Attributes:
        method: method of the request.
        has_chunks: whether the HTTP version defines chunked bodies.
        status: status code.
        lengths: values of all `Content-Length` fields, without blanks around
            them.
        codings: values of all `Transfer-Encoding` fields, likewise.
    """

    method: str | None
    has_chunks: bool
    status: int
    lengths: Sequence[str]
    codings: Sequence[str]


@attrs.frozen(kw_only=True)
class BodyLength:
    """Length of a body.

    Attributes:
        byte_count: length in bytes; none if chunks or the end of the connection
            determine the length.
        is_chunked: whether the body consists of chunks.
    """

    byte_count: int | None = None
    is_chunked: bool = False


def find_body_length(head: ResponseHead) -> BodyLength:
    """Return the length of the body of a response.

    Raises:
        MalformedMessage: if the head states no or two lengths.
    """
    if head.lengths and head.codings:
        raise MalformedMessage('Content-Length beside Transfer-Encoding')
    byte_count = _parse_lengths(head.lengths)
    is_chunked = _is_chunked(head)
    if head.status == HTTPStatus.NO_CONTENT and (byte_count or is_chunked):
        raise MalformedMessage('a response 204 has a body')
    if head.method == 'HEAD' or head.status in {
        HTTPStatus.NO_CONTENT,
        HTTPStatus.NOT_MODIFIED,
    }:
        return BodyLength(byte_count=0)
    return BodyLength(byte_count=byte_count, is_chunked=is_chunked)


def _is_chunked(head: ResponseHead) -> bool:
    """Whether the body is chunked; other codings need a `TE` field in the request."""
    if not head.codings:
        return False
    if not head.has_chunks:
        raise MalformedMessage('Transfer-Encoding in a response of HTTP/1.0')
    if [text.lower() for text in head.codings] != ['chunked']:
        raise MalformedMessage('Transfer-Encoding is not `chunked`')
    return True


def _parse_lengths(texts: Sequence[str]) -> int | None:
    """Return the length that all fields and their elements state, if any."""
    if not texts:
        return None
    lengths = {_parse_length(text) for text in ','.join(texts).split(',')}
    if len(lengths) > 1:
        raise MalformedMessage('Content-Length has different values')
    return lengths.pop()


def _parse_length(text: str) -> int:
    digits = text.strip(_OPTIONAL_WHITESPACE)
    is_number = digits.isascii() and digits.isdigit()
    if not is_number or len(digits) > _MAX_LENGTH_DIGITS:
        raise MalformedMessage('Content-Length is not a number of bytes')
    return int(digits)
