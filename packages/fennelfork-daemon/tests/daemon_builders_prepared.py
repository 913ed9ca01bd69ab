"""Servers that send prepared responses on kept connections, on real sockets."""

import contextlib
import re
import socket
import threading
from collections.abc import Iterator
from typing import Final

import attrs
from daemon_builders_listener import LoopbackListener, running
from daemon_builders_strict import Malformed, Unfinished, read_strictly

_TIMEOUT_S: Final = 20
_END_OF_HEAD: Final = b'\r\n\r\n'
_LAST_SEGMENT: Final = re.compile(rb'\A\S+ [^ ]*/([^/ ]+) ')
_REQUEST_ID: Final = re.compile(rb'(?i)\r\nx-request-id: ([^\r]*)\r\n')
# Replaced by the id of the request.
REQUEST_ID: Final = b'{request-id}'
# Control characters, blanks, delimiters, digits, letters and obs-text.
REPLACEMENT_BYTES: Final = (
    b'\x00', b'\t', b'\n', b'\r', b' ', b'"', b'+', b',', b'-', b'0', b'9',
    b':', b'f', b'x', b'\x7f', b'\xa0',
)  # fmt: skip


@attrs.define(kw_only=True)
class PreparedServer(LoopbackListener):
    """Server that keeps its connections and sends prepared responses.

    The last segment of the path selects the response to a request. The server
    closes a connection after a response that ends with the connection by RFC
    9112 and after an incomplete response.

    Attributes:
        valid: response to requests that have none of their own.
        responses: responses by the last segment of the path.
        requests: last segments of the paths that were requested.
        connections: number of connections that were accepted.
    """

    valid: bytes
    responses: dict[str, bytes] = attrs.field(factory=dict)
    requests: list[str] = attrs.field(factory=list)
    connections: int = 0

    def serve(self) -> None:
        """Serve connections until the listener is closed."""
        for accepted in self.accept_all():
            self.connections += 1
            threading.Thread(
                target=self._serve_connection, args=(accepted,)
            ).start()

    def _serve_connection(self, accepted: socket.socket) -> None:
        accepted.settimeout(_TIMEOUT_S)
        with accepted, contextlib.suppress(OSError):
            while request := _read_head(accepted):
                response = self._respond(request)
                accepted.sendall(response)
                if _ends_connection(response):
                    return

    def _respond(self, request: bytes) -> bytes:
        segment = _LAST_SEGMENT.match(request)
        assert segment is not None
        name = segment[1].decode()
        self.requests.append(name)
        request_id = _REQUEST_ID.search(request)
        sent_id = b'' if request_id is None else request_id[1]
        response = self.responses.get(name, self.valid)
        return response.replace(REQUEST_ID, sent_id)


def prepared_server(
    valid: bytes,
) -> contextlib.AbstractContextManager[PreparedServer]:
    """Run a server for the duration of a test."""
    return running(PreparedServer(valid=valid))


def heads_with_replaced_byte(response: bytes) -> Iterator[bytes]:
    """Yield the response with each byte of its head replaced in turn."""
    for place in range(response.index(_END_OF_HEAD) + len(_END_OF_HEAD)):
        for byte in REPLACEMENT_BYTES:
            if response[place : place + 1] != byte:
                yield response[:place] + byte + response[place + 1 :]


def _read_head(accepted: socket.socket) -> bytes:
    """Return the head of the next request, empty at the end."""
    request = b''
    while _END_OF_HEAD not in request:
        received = accepted.recv(65_536)
        if not received:
            return b''
        request += received
    return request


def _ends_connection(response: bytes) -> bool:
    """Whether the server closes the connection after a response.

    A client must refuse a malformed response while the connection is open.
    """
    try:
        return read_strictly(response, is_closed=False).ends_connection
    except Unfinished:
        return True
    except Malformed:
        return False
