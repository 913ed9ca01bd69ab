"""Grammar of the lines of HTTP/1.1 responses by RFC 9112, on raw bytes."""

import re
from http.client import HTTPException
from typing import Final

import attrs

_LINE_END: Final = b'\r\n'
_OPTIONAL_WHITESPACE: Final = b' \t'
_ENCODING: Final = 'iso-8859-1'
_VERSION: Final = re.compile(rb'HTTP/1\.([0-9])')
_STATUS_CODE: Final = re.compile(b'[1-5][0-9]{2}')
_TOKEN: Final = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# HTAB, SP, VCHAR and obs-text: all bytes but the other control characters.
_TEXT: Final = re.compile(rb'[\t \x21-\x7e\x80-\xff]*')
_QUOTED: Final = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
)
_CHUNK_EXTENSION: Final = rb'[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?' % (
    _TOKEN.pattern,
    _TOKEN.pattern,
    _QUOTED,
)
_CHUNK_LINE: Final = re.compile(
    rb'([0-9A-Fa-f]{1,16})(?:%b)*' % _CHUNK_EXTENSION
)
_HEXADECIMAL: Final = 16


class MalformedMessage(HTTPException):
    """Message that breaks a rule of RFC 9112.

    The text of the error names the rule and contains no byte of the message.
    """


@attrs.frozen(kw_only=True)
class StatusLine:
    """Status line of a response.

    Attributes:
        minor_version: second digit of the version of HTTP.
        status: status code, from 100 to 599.
        reason: reason phrase.
    """

    minor_version: int
    status: int
    reason: str


def parse_status_line(line: bytes) -> StatusLine:
    """Parse the status line of a response, with the end of the line.

    Raises:
        MalformedMessage: if the line is no status line of HTTP/1.
    """
    version, _, rest = _strip_line_end(line).partition(b' ')
    code, space, reason = rest.partition(b' ')
    version_match = _VERSION.fullmatch(version)
    if version_match is None:
        raise MalformedMessage('the status line has no version HTTP/1')
    if not (space and _STATUS_CODE.fullmatch(code)):
        raise MalformedMessage('the status code is not from 100 to 599')
    if not _TEXT.fullmatch(reason):
        raise MalformedMessage('the reason phrase has a control character')
    return StatusLine(
        minor_version=int(version_match[1]),
        status=int(code),
        reason=reason.decode(_ENCODING),
    )


def parse_field_line(line: bytes) -> tuple[str, str] | None:
    """Parse a header field or trailer field, with the end of the line.

    Returns:
        Name and value; none for the empty line after the last field.

    Raises:
        MalformedMessage: if the line is no field, or continues the one before.
    """
    field = _strip_line_end(line)
    if not field:
        return None
    name, colon, text = field.partition(b':')
    if not colon:
        raise MalformedMessage('a field line has no colon')
    if not _TOKEN.fullmatch(name):
        raise MalformedMessage('the name of a field is not a token')
    if not _TEXT.fullmatch(text):
        raise MalformedMessage('the value of a field has a control character')
    value_text = text.strip(_OPTIONAL_WHITESPACE).decode(_ENCODING)
    return name.decode(_ENCODING), value_text


def parse_chunk_line(line: bytes) -> int:
    """Return the size in the line before a chunk, with the end of the line.

    Raises:
        MalformedMessage: if the line has no size of at most 16 digits, or
            something after it that is no extension.
    """
    size_match = _CHUNK_LINE.fullmatch(_strip_line_end(line))
    if size_match is None:
        raise MalformedMessage('the line before a chunk has no valid size')
    return int(size_match[1], _HEXADECIMAL)


def _strip_line_end(line: bytes) -> bytes:
    if not line.endswith(_LINE_END):
        raise MalformedMessage('a line does not end with CRLF')
    return line.removesuffix(_LINE_END)
