"""Strict reader of HTTP responses, which tests compare the product with.

The reader implements the grammar of RFC 9112 and RFC 9110 byte by byte, without
the deviations that recipients may tolerate. A response with an invalid or
ambiguous status line, header line or body length is malformed.
"""

import string
from typing import Final

import attrs

_DIGITS: Final = frozenset(string.digits.encode())
_HEX_DIGITS: Final = frozenset(string.hexdigits.encode())
_TOKEN: Final = frozenset(
    f"{string.ascii_letters}{string.digits}!#$%&'*+-.^_`|~".encode()
)
_BLANKS: Final = b' \t'
# HTAB, SP, VCHAR and obs-text.
_TEXT: Final = frozenset(b'\t') | (frozenset(range(0x20, 0x100)) - {0x7F})
_QUOTED: Final = _TEXT - frozenset(b'"\\')
# Recipients may limit numbers, but must not misread them.
_MAX_HEX_DIGITS: Final = 16
_MAX_DIGITS: Final = 18

Fields = tuple[tuple[bytes, bytes], ...]


class Malformed(Exception):
    """Response that RFC 9112 does not permit."""


class Unfinished(Exception):
    """Response whose remaining bytes have not arrived."""


@attrs.frozen(kw_only=True)
class StrictResponse:
    """Response as RFC 9112 defines it.

    Attributes:
        status: status code.
        fields: names and values of the header fields.
        body: bytes of the body without chunked coding.
        rest: bytes that follow the response.
        ends_connection: whether the connection ends with the response.
    """

    status: int
    fields: Fields
    body: bytes
    rest: bytes
    ends_connection: bool

    def field(self, name: bytes) -> list[bytes]:
        """Return the values of all header fields with a name."""
        return _values(self.fields, name)


@attrs.define
class _Bytes:
    """Bytes of a connection that are read from the front."""

    raw: bytes

    def take(self, count: int) -> bytes:
        """Return a number of bytes."""
        if len(self.raw) < count:
            raise Unfinished
        taken = self.raw[:count]
        self.raw = self.raw[count:]
        return taken

    def line(self) -> bytes:
        """Return the next line without its CRLF."""
        end = self.raw.find(b'\n')
        if end < 0:
            raise Unfinished
        line = self.take(end + 1)
        _require(line.endswith(b'\r\n'), 'a line ends without CRLF')
        return line[:-2]


def read_strictly(
    raw: bytes, *, is_closed: bool, method: str = 'GET'
) -> StrictResponse:
    """Read the final response at the start of some bytes.

    Args:
        raw: bytes that a server sent on one connection.
        is_closed: whether the server closed the connection after them.
        method: method of the request.

    Raises:
        Malformed: if the response is not permitted.
        Unfinished: if the response needs further bytes.
    """
    source = _Bytes(raw)
    minor, status = _read_status(source.line())
    while status < 200:
        _require(status != 101, 'no other protocol was requested')
        _read_fields(source)
        minor, status = _read_status(source.line())
    fields = _read_fields(source)
    options = b','.join(_values(fields, b'connection')).lower().split(b',')
    ends = b'close' in {option.strip(_BLANKS) for option in options}
    body, has_end = _read_body(source, (minor, status, method), fields)
    if not has_end and not is_closed:
        raise Unfinished
    return StrictResponse(
        status=status,
        fields=fields,
        body=body,
        rest=source.raw,
        ends_connection=ends or minor == 0 or not has_end,
    )


def is_valid_response(raw: bytes, *, is_closed: bool) -> bool:
    """Whether some bytes begin with a complete and valid response."""
    try:
        read_strictly(raw, is_closed=is_closed)
    except (Malformed, Unfinished):
        return False
    return True


def _require(holds: bool, rule: str) -> None:
    if not holds:
        raise Malformed(rule)


def _read_status(line: bytes) -> tuple[int, int]:
    """Return the minor version and the status code of a status line."""
    _require(line.startswith(b'HTTP/1.'), 'the version is not HTTP/1')
    minor, code, reason = line[7:8], line[9:12], line[13:]
    _require(set(minor) <= _DIGITS and minor != b'', 'the version is no digit')
    _require(line[8:9] == b' ', 'no space before the status code')
    _require(len(code) == 3 and set(code) <= _DIGITS, 'the status code')
    _require(line[12:13] == b' ', 'no space after the status code')
    _require(set(reason) <= _TEXT, 'a control byte in the reason phrase')
    _require(100 <= int(code) <= 599, 'the status code has no class')
    return int(minor), int(code)


def _read_fields(source: _Bytes) -> Fields:
    fields = []
    while line := source.line():
        name, colon, text = line.partition(b':')
        _require(colon != b'', 'a line without a colon')
        _require(name != b'' and set(name) <= _TOKEN, 'the name is no token')
        _require(set(text) <= _TEXT, 'a control byte in a value')
        fields.append((name, text.strip(_BLANKS)))
    return tuple(fields)


def _values(fields: Fields, name: bytes) -> list[bytes]:
    return [text for known, text in fields if known.lower() == name.lower()]


def _read_body(
    source: _Bytes, head: tuple[int, int, str], fields: Fields
) -> tuple[bytes, bool]:
    """Return the body, and whether its end does not depend on a close."""
    minor, status, method = head
    codings = _values(fields, b'transfer-encoding')
    lengths = _read_lengths(_values(fields, b'content-length'))
    _require(not (codings and lengths), 'two kinds of length')
    if codings:
        _require(minor > 0, 'a transfer coding in HTTP/1.0')
        _require(codings[0].lower() == b'chunked', 'an unknown coding')
        _require(len(codings) == 1, 'two transfer codings')
    has_no_body = status in {204, 304} or method == 'HEAD'
    if status == 204:
        _require(not codings and lengths <= {0}, 'a length of no body')
    if has_no_body:
        return b'', True
    if codings:
        return _read_chunks(source), True
    if lengths:
        return source.take(lengths.pop()), True
    return source.take(len(source.raw)), False


def _read_lengths(texts: list[bytes]) -> set[int]:
    """Return the different lengths; RFC 9112 permits to repeat one."""
    listed = b','.join(texts).split(b',') if texts else []
    numbers = [number.strip(_BLANKS) for number in listed]
    for number in numbers:
        _require(number != b'' and set(number) <= _DIGITS, 'not a length')
        _require(len(number) <= _MAX_DIGITS, 'too long')
    lengths = {int(number) for number in numbers}
    _require(len(lengths) <= 1, 'different lengths')
    return lengths


def _read_chunks(source: _Bytes) -> bytes:
    chunks = []
    while size := _read_chunk_size(source.line()):
        chunks.append(source.take(size))
        _require(source.take(2) == b'\r\n', 'a chunk ends without CRLF')
    _read_fields(source)
    return b''.join(chunks)


def _read_chunk_size(line: bytes) -> int:
    size, rest = _split(line, _HEX_DIGITS)
    _require(0 < len(size) <= _MAX_HEX_DIGITS, 'the size of a chunk')
    while rest:
        rest = _skip_extension(rest)
    return int(size, 16)


def _skip_extension(text: bytes) -> bytes:
    """Return what follows one extension of a chunk."""
    rest = text.lstrip(_BLANKS)
    _require(rest.startswith(b';'), 'no extension after the size')
    name, rest = _split(rest[1:].lstrip(_BLANKS), _TOKEN)
    _require(name != b'', 'an extension without a name')
    if not rest.lstrip(_BLANKS).startswith(b'='):
        return rest
    rest = rest.lstrip(_BLANKS)[1:].lstrip(_BLANKS)
    if rest.startswith(b'"'):
        return _skip_quoted(rest[1:])
    text, rest = _split(rest, _TOKEN)
    _require(text != b'', 'an extension without a value')
    return rest


def _skip_quoted(text: bytes) -> bytes:
    """Return what follows a quoted string without its first quote."""
    rest = _split(text, _QUOTED)[1]
    while rest.startswith(b'\\'):
        _require(set(rest[1:2]) <= _TEXT and len(rest) > 1, 'a quoted pair')
        rest = _split(rest[2:], _QUOTED)[1]
    _require(rest.startswith(b'"'), 'a quoted string without an end')
    return rest[1:]


def _split(text: bytes, allowed: frozenset[int]) -> tuple[bytes, bytes]:
    """Split bytes after the first that are allowed."""
    count = next(
        (place for place, byte in enumerate(text) if byte not in allowed),
        len(text),
    )
    return text[:count], text[count:]
