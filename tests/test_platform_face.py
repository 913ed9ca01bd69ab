"""Requests of callers through the whole daemon, to servers on real sockets."""

import http
import io
import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import attrs
import pytest
import structlog
from daemon_builders_routes import FakeStore, UnboundedOutput, server, settings
from eventlet import sleep
from eventlet.green import socket
from platform_builders import config, environ, item, route
from returns.result import Failure

from fennelfork import system_clock
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.routes import Ports, ServerUpdate, route_service
from fennelfork_daemon.routes._disconnect_watch import DisconnectWatch
from fennelfork_daemon.settings._tables import LogSettings
from fennelfork_platform._backends import PlatformBackends
from fennelfork_platform._callers import PlatformCallers
from fennelfork_platform._items import read_item

_WAIT_S = 0.05


@attrs.define(kw_only=True)
class Daemon:
    """A daemon without listeners, and the lines that it logs."""

    log: io.StringIO
    service: Any
    near: Any
    far: Any
    replies: list[Any] = attrs.field(factory=list)
    servers: list[Any] = attrs.field(factory=list)

    def know(self, *routes: dict[str, Any]) -> None:
        """Have the store tell a configuration."""
        fact = read_item(item('op/config', config(*routes)), system_clock())
        self._take(fact)

    def add(self, body: bytes, service: str) -> None:
        """Start a backend server that gives a body, and register it."""
        handler = type('Handler', (_Answering,), {'body': body})
        listener = ThreadingHTTPServer(('127.0.0.1', 0), handler)
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        self.servers.append(listener)
        port = listener.server_address[1]
        built = server(
            f'i-{port}',
            service=service,
            address=f'127.0.0.1:{port}',
        )
        self._take(ServerUpdate(server=built))

    def ask(
        self,
        sent: bytes = b'',
        **changes: Any,
    ) -> tuple[int, dict[str, str], bytes]:
        """Make one request and give status, headers and body."""
        asked = environ(**changes)
        asked['wsgi.input'] = io.BytesIO(sent)
        asked['fennelfork.connection'] = self.near
        asked['fennelfork.close_connection'] = lambda: None
        body = self.service.face(asked, self._start_response)
        status, headers = self.replies.pop()
        return int(status.split()[0]), dict(headers), b''.join(body)

    def lines(self) -> list[dict[str, Any]]:
        """Give the lines that were logged."""
        return [json.loads(line) for line in self.log.getvalue().splitlines()]

    def _take(self, fact: Any) -> None:
        self.service.follower.apply_updates((fact,))

    def _start_response(self, status: str, headers: Any) -> None:
        self.replies.append((status, headers))


@pytest.fixture
def daemon() -> Iterator[Daemon]:
    """Give a daemon that knows nothing yet."""
    log = io.StringIO()
    configure_logs(LogSettings(), log)
    near, far = socket.socketpair()
    ports = Ports(
        store=FakeStore(),
        callers=PlatformCallers(),
        backends=PlatformBackends(),
    )
    built = route_service(
        settings(),
        ports,
        lambda: Failure(('none',)),
        UnboundedOutput(),
    )
    found = Daemon(log=log, service=built, near=near, far=far)
    yield found
    for listener in found.servers:
        listener.shutdown()
        listener.server_close()
    structlog.reset_defaults()


class TestRefusals:
    """Requests that are not sent to any server."""

    def test_no_configuration_yet(self, daemon: Daemon) -> None:
        """Not run, when to come back, and a line with the request's id."""
        status, headers, _ = daemon.ask()
        assert (status, headers['Retry-After']) == (503, '0.300')
        line = daemon.lines()[-1]
        assert line['event'] == 'request_refused'
        assert line['request'] == '9c41d07be2a35f68'

    def test_no_route(self, daemon: Daemon) -> None:
        """Refused only by a configuration that is in force."""
        daemon.know(route(Prefix='/notices/'))
        assert daemon.ask()[0] == 404

    def test_no_server(self, daemon: Daemon) -> None:
        """Nothing ran where no server is known."""
        daemon.know(route())
        status, headers, _ = daemon.ask()
        assert (status, headers['Retry-After']) == (503, '0.250')

    def test_too_many(self, daemon: Daemon) -> None:
        """Refused at once, with when to return and what decided it."""
        daemon.know(route())
        daemon.add(b'whole', 'archive')
        assert daemon.ask()[0] == 200
        board = daemon.service.board
        found = board.table.routes[0]
        limits = daemon.service.face.limits
        for _ in range(20):
            limits.try_admit(found)
        limits.record_lag()
        status, headers, _ = daemon.ask()
        assert (status, headers['Retry-After']) == (503, '1.000')
        line = daemon.lines()[-1]
        assert (line['event'], line['code']) == ('request_refused', 'shed')
        assert '20 requests are under way' in line['reason']
        for _ in range(20):
            limits.release(found)
        assert daemon.ask()[0] == 200


class TestAnswers:
    """Requests that servers answer."""

    def test_forwarded(self, daemon: Daemon) -> None:
        """The answer of the server as it is."""
        daemon.know(route())
        daemon.add(b'whole', 'archive')
        status, headers, body = daemon.ask()
        assert (status, body) == (200, b'whole')
        assert headers['X-Server-Stamp'] == 's'

    def test_gathered(self, daemon: Daemon) -> None:
        """The greatest records of all parts, and who signed them."""
        daemon.know(_gathered('a', 'b'))
        daemon.add(b'1' * 16, 'a')
        daemon.add(b'2' * 16, 'b')
        status, headers, body = daemon.ask()
        assert (status, body) == (200, b'2' * 16 + b'1' * 16)
        assert headers['X-Parts-Missing'] == '0'

    def test_partial(self, daemon: Daemon) -> None:
        """A part that cannot be had is said to be missing."""
        daemon.know(_gathered('a', 'b'))
        daemon.add(b'1' * 16, 'a')
        _, headers, body = daemon.ask()
        assert (headers['X-Parts-Missing'], body) == ('1', b'1' * 16)
        line = daemon.lines()[-1]
        assert line['answer'] == 'partial'
        assert line['version'] == 7

    def test_defect(self, daemon: Daemon) -> None:
        """A defect of ours is logged and promises nothing."""
        daemon.service.board.table = attrs.make_class('Broken', ())()
        assert daemon.ask()[0] == 502
        assert daemon.lines()[-1]['event'] == 'defect'


class TestBodies:
    """Bodies that are passed on, and those that are not."""

    def test_chunked(self, daemon: Daemon) -> None:
        """A body in chunks is passed on as a whole."""
        daemon.know(route())
        daemon.add(b'whole', 'archive')
        status, _, _ = daemon.ask(b'{}', HTTP_TRANSFER_ENCODING='chunked')
        assert status == 200

    @pytest.mark.parametrize(
        ('length', 'body'),
        [('300000', b'x' * 300_000), ('9', b'short')],
    )
    def test_refused(self, daemon: Daemon, length: str, body: bytes) -> None:
        """Too large, or not whole: nothing is sent."""
        daemon.know(route())
        status, _, _ = daemon.ask(body, CONTENT_LENGTH=length)
        assert status == 400
        assert daemon.lines()[-1]['code'] == 'bad_request'


class TestCallerWatch:
    """A caller that closes its connection while its request runs."""

    def setup_method(self) -> None:
        """Connect a caller."""
        pair = socket.socketpair()
        self.near = pair[0]
        self.far = pair[1]
        self.left: list[bool] = []

    def test_close(self) -> None:
        """It is noticed at once."""
        with self._watching():
            self.far.close()
            sleep(_WAIT_S)
            assert self.left == [True]

    def test_next_request(self) -> None:
        """A request that is sent early is no leave."""
        with self._watching():
            self.far.sendall(b'GET')
            sleep(_WAIT_S)
        assert not self.left
        assert self.near.recv(9) == b'GET'

    def test_after_the_request(self) -> None:
        """Nothing is watched once the request is answered."""
        with self._watching():
            sleep(_WAIT_S)
        self.far.close()
        sleep(_WAIT_S)
        assert not self.left

    def _watching(self) -> Any:
        watch = DisconnectWatch(connection=self.near)
        return watch.call_on_disconnect(lambda: self.left.append(True))


class _Answering(BaseHTTPRequestHandler):
    """Answers every request with one body."""

    body = b''
    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        """Answer, signed."""
        self.send_response(http.HTTPStatus.OK)
        self.send_header('X-Server-Stamp', 's')
        self.send_header('X-Request-Id', self.headers['X-Request-Id'])
        self.send_header('Content-Length', str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *words: Any) -> None:
        """Print nothing."""


def _gathered(*services: str) -> dict[str, Any]:
    return route(
        Service=None,
        Gather=list(services),
        TopK=5,
        MinCoverage=0.5,
    )
