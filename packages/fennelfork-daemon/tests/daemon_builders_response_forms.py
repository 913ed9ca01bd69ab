"""Valid and malformed responses by name; each malformed one breaks one rule."""

from typing import Final

from daemon_builders_prepared import REQUEST_ID

BODY: Final = b'records of shard'
_START: Final = b'HTTP/1.1 200 OK\r\n'
_FIELDS: Final = (
    b'X-Server-Stamp: stamp-faulty\r\n'
    b'X-Request-Id: %s\r\n'
    b'Content-Type: application/octet-stream\r\n' % REQUEST_ID
)
_LENGTH: Final = b'Content-Length: 16\r\n'
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n'
_CHUNKS: Final = b'7\r\nrecords\r\n9\r\n of shard\r\n0\r\n\r\n'


def response(
    fields: bytes = _LENGTH,
    body: bytes = BODY,
    start: bytes = _START,
    own: bytes = _FIELDS,
) -> bytes:
    """Build a response; all parts but the body end with CRLF."""
    return b'%s%s%s\r\n%s' % (start, own, fields, body)


def _chunks(body: bytes) -> bytes:
    return response(_CHUNKED, body)


# Valid responses, one for each way to end a body.
VALID: Final = {
    'length': response(),
    'chunks': response(_CHUNKED, _CHUNKS),
    'close': response(b'Connection: close\r\n'),
}
# Less usual forms of healthy servers.
UNUSUAL: Final = {
    'no-blank-after-colon': response(b'Content-Length:16\r\n'),
    'blanks-around-length': response(b'Content-Length: \t 16 \t\r\n'),
    'blanks-around-coding': response(
        b'Transfer-Encoding:  chunked \r\n', _CHUNKS
    ),
    'lower-case': response(b'content-length: 16\r\n'),
    'upper-case-coding': response(b'TRANSFER-ENCODING: CHUNKED\r\n', _CHUNKS),
    'leading-zeros': response(b'Content-Length: 0016\r\n'),
    'repeated-length': response(b'Content-Length: 16\r\n' * 2),
    'listed-length': response(b'Content-Length: 16, 16\r\n'),
    'empty-value': response(b'X-A:\r\nContent-Length: 16\r\n'),
    'obs-text': response(b'X-A: caf\xe9 \xa0\x85\r\nContent-Length: 16\r\n'),
    'token-name': response(b"X!#$%&'*+-.^_`|~: 1\r\nContent-Length: 16\r\n"),
    'colons': response(b'X-A: a:b: c\r\nContent-Length: 16\r\n'),
    'no-reason': response(start=b'HTTP/1.1 200 \r\n'),
    'odd-reason': response(start=b'HTTP/1.1 200 \t fine \xe9\r\n'),
    'old-version': response(start=b'HTTP/1.0 200 OK\r\n'),
    'later-version': response(start=b'HTTP/1.2 200 OK\r\n'),
    'unknown-status': response(start=b'HTTP/1.1 299 Odd\r\n'),
    'continue': response(start=b'HTTP/1.1 100 Continue\r\n\r\n%s' % _START),
    'early-hints': response(
        start=b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n%s' % _START
    ),
    'no-content': response(
        b'', b'', start=b'HTTP/1.1 204 No Content\r\n'
    ),
    'no-content-length-0': response(
        b'Content-Length: 0\r\n', b'', start=b'HTTP/1.1 204 No Content\r\n'
    ),
    'empty-body': response(b'Content-Length: 0\r\n', b''),
    'chunk-zeros': _chunks(b'0010\r\n%s\r\n000\r\n\r\n' % BODY),
    'chunk-extensions': _chunks(
        b'7;a\r\nrecords\r\n9 ; b = "c;\x5c"d" ;e=f\r\n of shard\r\n0;g\r\n\r\n'
    ),
    'trailers': _chunks(b'10\r\n%s\r\n0\r\nX-A: 1\r\nX-B:\r\n\r\n' % BODY),
}  # fmt: skip
# Valid responses with bytes after them that belong to no request.
SURPLUS: Final = {
    'byte': response(body=b'%sx' % BODY),
    'line-end': response(body=b'%s\r\n' % BODY),
    'longer-body': response(body=BODY * 2),
    'response': response(body=b'%s%s' % (BODY, response())),
    'after-chunks': response(_CHUNKED, b'%s%s' % (_CHUNKS, BODY)),
    'no-content': response(b'', start=b'HTTP/1.1 204 No Content\r\n'),
    'not-modified': response(start=b'HTTP/1.1 304 Not Modified\r\n'),
}  # fmt: skip
# Valid responses whose signature is not one entry of a list.
SIGNATURE_FORMS: Final = {
    name: response(own=b'X-Server-Stamp:%s\r\n' % text)
    for name, text in {
        'empty': b'',
        'blank': b' stamp faulty',
        'tab': b' stamp\tfaulty',
        'comma': b' stamp,faulty',
        'two': b' stamp-1, stamp-2',
        'obs-text': b' stamp\xe9',
    }.items()
}  # fmt: skip
STATUS_FORMS: Final = {
    name: response(start=b'%s\r\n' % line)
    for name, line in {
        'status-000': b'HTTP/1.1 000 OK',
        'status-099': b'HTTP/1.1 099 OK',
        'status-600': b'HTTP/1.1 600 OK',
        'status-999': b'HTTP/1.1 999 OK',
        'status-20': b'HTTP/1.1 20 OK',
        'status-0200': b'HTTP/1.1 0200 OK',
        'status-+200': b'HTTP/1.1 +200 OK',
        'status-2_00': b'HTTP/1.1 2_00 OK',
        'status-hex': b'HTTP/1.1 0xc8 OK',
        'status-missing': b'HTTP/1.1',
        'status-101': b'HTTP/1.1 101 Switching Protocols',
        'two-blanks': b'HTTP/1.1  200 OK',
        'tab': b'HTTP/1.1\t200 OK',
        'vertical-tab': b'HTTP/1.1\x0b200 OK',
        'no-break-space': b'HTTP/1.1\xa0200 OK',
        'leading-blank': b' HTTP/1.1 200 OK',
        'control-byte': b'HTTP/1.1 200 O\x00K',
        'carriage-return': b'HTTP/1.1 200 OK\rX-A: 1',
        'no-blank-after-status': b'HTTP/1.1 200',
        'version-2': b'HTTP/2.0 200 OK',
        'version-1.x': b'HTTP/1.x 200 OK',
        'version-1.10': b'HTTP/1.10 200 OK',
        'version-lower': b'http/1.1 200 OK',
        'no-version': b'200 OK',
        'interim-status': b'HTTP/1.1 1_00 Continue\r\n\r\nHTTP/1.1 200 OK',
        'interim-field': b'HTTP/1.1 100 Continue\r\nno field\r\n\r\n'
        b'HTTP/1.1 200 OK',
        'hints-field': b'HTTP/1.1 103 Early\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK',
    }.items()
} | {
    'line-feed-only': response(start=b'HTTP/1.1 200 OK\n'),
    'empty-line-first': response(start=b'\r\nHTTP/1.1 200 OK\r\n'),
}  # fmt: skip
_LINES: Final = {
    'no-colon': b'no field',
    'empty-name': b': 1',
    'blank-before-colon': b'X-A : 1',
    'tab-before-colon': b'X-A\t: 1',
    'blank-in-name': b'X A: 1',
    'tab-in-name': b'X\tA: 1',
    'null-in-name': b'X\x00A: 1',
    'control-in-name': b'X\x01A: 1',
    'escape-in-name': b'X\x1bA: 1',
    'delete-in-name': b'X\x7fA: 1',
    'obs-text-in-name': b'X\xe9A: 1',
    'quote-in-name': b'X"A: 1',
    'slash-in-name': b'X/A: 1',
    'brackets-in-name': b'X[A]: 1',
    'folded': b'X-A: 1\r\n 2',
    'folded-tab': b'X-A: 1\r\n\t2',
    'folded-empty': b'X-A: 1\r\n ',
    'envelope': b'From me: 1',
    'null-in-value': b'X-A: 1\x002',
    'control-in-value': b'X-A: 1\x012',
    'delete-in-value': b'X-A: 1\x7f2',
    'form-feed-in-value': b'X-A: 1\x0c2',
    'separator-in-value': b'X-A: 1\x1c2',
    'carriage-return-in-value': b'X-A: 1\rX-Server-Stamp: other',
    'two-carriage-returns': b'X-A: 1\r',
    'blank-line': b' ',
}  # fmt: skip
# Some parsers ignore all fields after a malformed line.
FIELD_FORMS: Final = {
    f'{name}-before': response(b'%s\r\n%s' % (line, _LENGTH))
    for name, line in _LINES.items()
} | {
    f'{name}-after': response(b'%s%s\r\n' % (_LENGTH, line))
    for name, line in _LINES.items()
} | {
    'first-line': response(own=b'no field\r\n%s' % _FIELDS),
    'first-line-folded': response(own=b' X-A: 1\r\n%s' % _FIELDS),
    'hidden-chunks': response(b'X-A : 1\r\n%s' % _CHUNKED, _CHUNKS),
    'line-feed-only-field': response(b'X-A: 1\nContent-Length: 16\r\n'),
    'line-feed-only-end': response(b'Content-Length: 16\r\n\n', b''),
}  # fmt: skip
LENGTH_FORMS: Final = {
    f'length-{name}': response(b'Content-Length: %s\r\n' % text)
    for name, text in {
        'empty': b'',
        'word': b'many',
        'minus': b'-16',
        'plus': b'+16',
        'underscore': b'1_6',
        'hex': b'0x10',
        'fraction': b'16.0',
        'blank': b'1 6',
        'letter': b'1x',
        'semicolon': b'16;',
        'quoted': b'"16"',
        'different': b'16, 17',
        'empty-element': b'16,',
        'other-element': b'16, x',
        'superscript': b'1\xb2',
        'no-break-space': b'16\xa0',
        'endless': b'9' * 5000,
    }.items()
} | {
    'two-lengths': response(b'Content-Length: 16\r\nContent-Length: 8\r\n'),
    'two-lengths-shorter-first': response(
        b'Content-Length: 8\r\nContent-Length: 16\r\n'
    ),
    'length-and-chunks': response(_LENGTH + _CHUNKED, _CHUNKS),
    'chunks-and-length': response(_CHUNKED + _LENGTH, _CHUNKS),
    'no-content-with-length': response(
        start=b'HTTP/1.1 204 No Content\r\n'
    ),
    'no-content-with-chunks': response(
        _CHUNKED, _CHUNKS, start=b'HTTP/1.1 204 No Content\r\n'
    ),
    'chunks-in-old-version': response(
        _CHUNKED, _CHUNKS, start=b'HTTP/1.0 200 OK\r\n'
    ),
} | {
    f'coding-{name}': response(b'Transfer-Encoding: %s\r\n' % text, _CHUNKS)
    for name, text in {
        'empty': b'',
        'malformed': b'chunkex',
        'identity': b'identity',
        'gzip': b'gzip',
        'gzip-chunked': b'gzip, chunked',
        'twice': b'chunked, chunked',
        'chunked-first': b'chunked, identity',
        'parameter': b'chunked;q=1',
        'quoted': b'"chunked"',
        'no-break-space': b'\xa0chunked',
    }.items()
} | {
    'two-codings': response(_CHUNKED * 2, _CHUNKS),
}  # fmt: skip
CHUNK_FORMS: Final = {
    f'chunk-{name}': _chunks(body)
    for name, body in {
        'minus': b'-10\r\n%s\r\n0\r\n\r\n' % BODY,
        'plus': b'+10\r\n%s\r\n0\r\n\r\n' % BODY,
        'prefix': b'0x10\r\n%s\r\n0\r\n\r\n' % BODY,
        'underscore': b'1_0\r\n%s\r\n0\r\n\r\n' % BODY,
        'leading-blank': b' 10\r\n%s\r\n0\r\n\r\n' % BODY,
        'trailing-blank': b'10 \r\n%s\r\n0\r\n\r\n' % BODY,
        'empty': b'\r\n%s\r\n0\r\n\r\n' % BODY,
        'word': b'ten\r\n%s\r\n0\r\n\r\n' % BODY,
        'huge': b'%s\r\n%s\r\n0\r\n\r\n' % (b'f' * 400, BODY),
        'line-feed-only': b'10\n%s\r\n0\r\n\r\n' % BODY,
        'carriage-return': b'10;\r\r\n%s\r\n0\r\n\r\n' % BODY,
        'control-in-extension': b'10;a\x00\r\n%s\r\n0\r\n\r\n' % BODY,
        'bad-extension': b'10;=a\r\n%s\r\n0\r\n\r\n' % BODY,
        'end-missing': b'7\r\nrecords9\r\n of shard\r\n0\r\n\r\n',
        'end-malformed': b'10\r\n%sxx0\r\n\r\n' % BODY,
        'end-line-feed': b'10\r\n%s\n\n0\r\n\r\n' % BODY,
        'too-long': b'7\r\nrecords too\r\n0\r\n\r\n',
        'last-minus': b'10\r\n%s\r\n-0\r\n\r\n' % BODY,
        'trailer-no-field': b'10\r\n%s\r\n0\r\nno field\r\n\r\n' % BODY,
        'trailer-blank': b'10\r\n%s\r\n0\r\nX A: 1\r\n\r\n' % BODY,
        'trailer-control': b'10\r\n%s\r\n0\r\nX-A: \x00\r\n\r\n' % BODY,
        'trailer-line-feed': b'10\r\n%s\r\n0\r\nX-A: 1\n\r\n' % BODY,
        'last-line-feed': b'10\r\n%s\r\n0\r\n\n' % BODY,
    }.items()
}  # fmt: skip
MALFORMED: Final = STATUS_FORMS | FIELD_FORMS | LENGTH_FORMS | CHUNK_FORMS


def with_content(form: bytes, status: bytes, content: bytes) -> bytes:
    """Return a form with another status, and another body if it has a length.

    Forms whose status line or length is malformed keep it.
    """
    changed = form.replace(b' 200 ', b' %s ' % status)
    if _LENGTH not in form:
        return changed
    length = b'Content-Length: %d\r\n' % len(content)
    return changed.replace(BODY, content).replace(_LENGTH, length)
