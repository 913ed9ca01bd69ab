"""Builders of members, settings and HTTP servers for membership tests."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from daemon_builders_product import settings_document

from fennelfork.membership import Member, MemberStatus
from fennelfork_daemon.settings._settings import read_settings
from fennelfork_daemon.settings._tables import Settings


def build_member(name: str = 'vm-1', peer: str = '127.0.0.1:1') -> Member:
    """Build a member with values for all fields."""
    return Member(
        name=name,
        incarnation=1024,
        state=MemberStatus.ALIVE,
        region='region-1',
        data_centre='dc-1',
        caller='127.0.0.1:2',
        operator='127.0.0.1:3',
        peer=peer,
        config_version=7,
        config_hash='abc',
    )


def build_settings(vm_list: str) -> Settings:
    """Build settings with the given address of the VM list."""
    document = settings_document()
    document['platform']['vm_list'] = vm_list
    return read_settings(document).unwrap()


@contextmanager
def serve_response(status: int, body: bytes) -> Iterator[str]:
    """Run a server that sends the same response to each GET.

    Yields:
        Address of the server.
    """
    handler = type(
        '_Handler',
        (_Handler,),
        {'reply_status': status, 'reply_body': body},
    )
    with ThreadingHTTPServer(('127.0.0.1', 0), handler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield f'127.0.0.1:{server.server_port}'
        finally:
            server.shutdown()
            thread.join()


class _Handler(BaseHTTPRequestHandler):
    reply_status = 200
    reply_body = b''

    def do_GET(self) -> None:
        """Send the response."""
        self.send_response(self.reply_status)
        self.send_header('Content-Length', str(len(self.reply_body)))
        self.end_headers()
        self.wfile.write(self.reply_body)

    def log_message(self, *_: object) -> None:
        """Discard access log lines."""
