"""Builders of peers that send an HTTP message without end, on real sockets."""

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Iterator
from typing import Final

import attrs
from daemon_builders_listener import LoopbackListener, running

_BLOCK_BYTES: Final = 65_536
_SEND_TIMEOUT_S: Final = 8
# Shorter than any timeout for the next byte.
_SLOW_PAUSE_S: Final = 0.01
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'


@attrs.frozen(kw_only=True)
class EndlessForm:
    """Message that begins with some bytes and repeats others without end.

    Attributes:
        begin: first bytes of the message.
        repeated: bytes that follow again and again.
        is_slow: whether one byte is sent at a time.
    """

    begin: bytes
    repeated: bytes
    is_slow: bool = False

    @property
    def block(self) -> bytes:
        """Whole repetitions, about as many bytes as one write takes."""
        return self.repeated * (1 + _BLOCK_BYTES // len(self.repeated))

    def writes(self) -> Iterator[bytes]:
        """Yield the bytes of each write after the beginning."""
        while not self.is_slow:
            yield self.block
        for byte in itertools.cycle(self.repeated):
            time.sleep(_SLOW_PAUSE_S)
            yield bytes((byte,))


def _request(fields: bytes = b'', method: bytes = b'POST') -> bytes:
    return (
        b'%s /one/7 HTTP/1.1\r\nHost: rafts.example\r\n'
        b'X-Request-Id: endless\r\n%s' % (method, fields)
    )


_UNKNOWN: Final = (
    b'GET /unknown/7 HTTP/1.1\r\nHost: rafts.example\r\n'
    b'X-Request-Id: endless\r\n\r\n'
)
# In the order of RFC 9112: start line, header section, body, chunks, trailers.
REQUEST_FORMS: Final = {
    'empty-lines': EndlessForm(begin=b'', repeated=b'\r\n'),
    'method': EndlessForm(begin=b'', repeated=b'A'),
    'target': EndlessForm(begin=b'GET /', repeated=b'a'),
    'header-lines': EndlessForm(begin=_request(), repeated=b'X-A: 1\r\n'),
    'header-line': EndlessForm(begin=_request(b'X-A: '), repeated=b'a'),
    'header-name': EndlessForm(begin=_request(), repeated=b'a'),
    'long-body': EndlessForm(
        begin=_request(b'Content-Length: 999999999999\r\n\r\n'), repeated=b'a'
    ),
    'chunk-size': EndlessForm(begin=_request(_CHUNKED), repeated=b'1'),
    'chunk-size-zeros': EndlessForm(begin=_request(_CHUNKED), repeated=b'0'),
    'chunk-extension': EndlessForm(
        begin=_request(b'%s1;a=' % _CHUNKED), repeated=b'b'
    ),
    'short-chunks': EndlessForm(
        begin=_request(_CHUNKED), repeated=b'1\r\na\r\n'
    ),
    'extended-chunks': EndlessForm(
        begin=_request(_CHUNKED),
        repeated=b'1;a=%s\r\na\r\n' % (b'b' * 1000),
    ),
    'long-chunks': EndlessForm(
        begin=_request(_CHUNKED), repeated=b'1000\r\n%s\r\n' % (b'a' * 4096)
    ),
    'chunk-end': EndlessForm(
        begin=_request(b'%s1\r\na' % _CHUNKED), repeated=b'b'
    ),
    'trailer-lines': EndlessForm(
        begin=_request(b'%s0\r\n' % _CHUNKED), repeated=b'X-A: 1\r\n'
    ),
    'trailer-line': EndlessForm(
        begin=_request(b'%s0\r\nX-A: ' % _CHUNKED), repeated=b'a'
    ),
}
# Messages without end, each of them proper, whose answers are not read.
UNREAD_FORMS: Final = {
    'refused-requests': EndlessForm(begin=b'', repeated=_UNKNOWN),
    'requests': EndlessForm(
        begin=b'', repeated=_request(b'\r\n', method=b'GET')
    ),
}


def _response(fields: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n%s' % fields


RESPONSE_FORMS: Final = {
    'empty-lines': EndlessForm(begin=b'', repeated=b'\r\n'),
    'status-line': EndlessForm(begin=b'HTTP/1.1 200 ', repeated=b'a'),
    'version': EndlessForm(begin=b'HTTP/1.', repeated=b'1'),
    'interim-responses': EndlessForm(
        begin=b'', repeated=b'HTTP/1.1 100 Continue\r\n\r\n'
    ),
    'interim-headers': EndlessForm(
        begin=b'', repeated=b'HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\n'
    ),
    'early-hints': EndlessForm(
        begin=b'', repeated=b'HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n'
    ),
    'header-lines': EndlessForm(begin=_response(b''), repeated=b'X-A: 1\r\n'),
    'header-line': EndlessForm(begin=_response(b'X-A: '), repeated=b'a'),
    'header-name': EndlessForm(begin=_response(b''), repeated=b'a'),
    'body': EndlessForm(begin=_response(b'\r\n'), repeated=b'a'),
    'long-body': EndlessForm(
        begin=_response(b'Content-Length: 999999999999\r\n\r\n'), repeated=b'a'
    ),
    'chunk-size': EndlessForm(begin=_response(_CHUNKED), repeated=b'1'),
    'chunk-size-zeros': EndlessForm(begin=_response(_CHUNKED), repeated=b'0'),
    'chunk-extension': EndlessForm(
        begin=_response(b'%s1;a=' % _CHUNKED), repeated=b'b'
    ),
    'short-chunks': EndlessForm(
        begin=_response(_CHUNKED), repeated=b'1\r\na\r\n'
    ),
    'extended-chunks': EndlessForm(
        begin=_response(_CHUNKED),
        repeated=b'1;a=%s\r\na\r\n' % (b'b' * 1000),
    ),
    'long-chunks': EndlessForm(
        begin=_response(_CHUNKED), repeated=b'1000\r\n%s\r\n' % (b'a' * 4096)
    ),
    'chunk-end': EndlessForm(
        begin=_response(b'%s1\r\na' % _CHUNKED), repeated=b'b'
    ),
    'trailer-lines': EndlessForm(
        begin=_response(b'%s0\r\n' % _CHUNKED), repeated=b'X-A: 1\r\n'
    ),
    'trailer-line': EndlessForm(
        begin=_response(b'%s0\r\nX-A: ' % _CHUNKED), repeated=b'a'
    ),
}


def send_endless(connection: socket.socket, form: EndlessForm) -> float:
    """Send a message until the peer ends the connection.

    Returns:
        Seconds until the peer closed or reset the connection, or until it had
        not read for 8 s.
    """
    began_s = time.monotonic()
    connection.settimeout(_SEND_TIMEOUT_S)
    with contextlib.suppress(OSError):
        connection.sendall(form.begin)
        for written in form.writes():
            connection.sendall(written)
            if time.monotonic() - began_s > _SEND_TIMEOUT_S:
                break
    return time.monotonic() - began_s


@attrs.define(kw_only=True)
class EndlessServer(LoopbackListener):
    """Server that answers each request with a message without end.

    Attributes:
        form: message that is sent.
        ended_s: time for which each connection took bytes, in seconds.
    """

    form: EndlessForm
    ended_s: list[float] = attrs.field(factory=list)

    def serve(self) -> None:
        """Serve connections until the listener is closed."""
        for accepted in self.accept_all():
            threading.Thread(target=self._respond, args=(accepted,)).start()

    def _respond(self, accepted: socket.socket) -> None:
        with accepted:
            accepted.settimeout(_SEND_TIMEOUT_S)
            if accepted.recv(_BLOCK_BYTES):
                self.ended_s.append(send_endless(accepted, self.form))


def endless_server(
    form: EndlessForm,
) -> contextlib.AbstractContextManager[EndlessServer]:
    """Run a server for the duration of a test."""
    return running(EndlessServer(form=form))
