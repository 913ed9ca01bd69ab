"""Tests of requests through a daemon to backend servers on real sockets."""

import io
import json
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import attrs
import pytest
import structlog
from daemon_builders_endings import cutting_server
from daemon_builders_routes import (
    UnboundedOutput,
    server,
    settings,
)
from daemon_builders_store import FakeRelays, FakeStore
from eventlet import sleep
from eventlet.green import socket
from platform_builders import config, environ, item, route
from returns.result import Failure

from fennelfork import FailureCode, not_run, system_clock
from fennelfork.workspaces import Workspace
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.routes import (
    CallerRequest,
    Ports,
    ServerUpdate,
    UpdateBatch,
    route_service,
)
from fennelfork_daemon.routes._disconnect_watch import DisconnectWatch
from fennelfork_daemon.settings._log_settings import LogSettings
from fennelfork_platform._backends import PlatformBackends
from fennelfork_platform._callers import PlatformCallers
from fennelfork_platform._items import read_item

_WAIT_S = 0.05


@attrs.define(kw_only=True)
class Daemon:
    """Daemon without listeners.

    Attributes:
        log: log output of the daemon.
        service: service under test.
        near: daemon's end of the connection to the caller.
        far: caller's end of the connection.
        replies: status and headers of responses that were not read yet.
        servers: backend servers to stop after the test.
    """

    log: io.StringIO
    service: Any
    near: Any
    far: Any
    replies: list[Any] = attrs.field(factory=list)
    servers: list[Any] = attrs.field(factory=list)

    def configure(self, *routes: dict[str, Any], **fields: Any) -> None:
        """Apply a configuration from the store."""
        tree = config(*routes) | fields
        update = read_item(item('op/config', tree), system_clock())
        self._apply_update(update)

    def add_server(self, body: bytes, service: str, status: int = 200) -> None:
        """Start and register a backend server with a fixed response."""
        members = {'body': body, 'status': status}
        handler = type('Handler', (_FixedResponseHandler,), members)
        listener = ThreadingHTTPServer(('127.0.0.1', 0), handler)
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        self.servers.append(listener)
        self.register(f'127.0.0.1:{listener.server_address[1]}', service)

    def register(self, address: str, service: str) -> None:
        """Register the backend server at an address."""
        registered = server(f'i-{address}', service=service, address=address)
        self._apply_update(ServerUpdate(server=registered))

    def send_request(
        self,
        request_body: bytes = b'',
        **changes: Any,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request and return status, headers and body."""
        request_environ = environ(**changes)
        request_environ['wsgi.input'] = io.BytesIO(request_body)
        request_environ['fennelfork.connection'] = self.near
        request_environ['fennelfork.close_connection'] = lambda: None
        body = self.service.face(request_environ, self._start_response)
        status, headers = self.replies.pop()
        return int(status.split()[0]), dict(headers), b''.join(body)

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the decoded lines of the log."""
        return [json.loads(line) for line in self.log.getvalue().splitlines()]

    def _apply_update(self, update: Any) -> None:
        changes = UpdateBatch(updates=(update,), revision=1)
        self.service.follower.apply_changes(changes)

    def _start_response(self, status: str, headers: Any) -> None:
        self.replies.append((status, headers))


@pytest.fixture
def daemon() -> Iterator[Daemon]:
    """Yield a daemon without a configuration."""
    log = io.StringIO()
    configure_logs(LogSettings(), log)
    near, far = socket.socketpair()
    ports = Ports(
        store=FakeStore(),
        relays=FakeRelays(),
        callers=PlatformCallers(),
        backends=PlatformBackends(),
    )
    service = route_service(
        settings(),
        ports,
        lambda: Failure(('none',)),
        UnboundedOutput(),
    )
    started = Daemon(log=log, service=service, near=near, far=far)
    yield started
    for listener in started.servers:
        listener.shutdown()
        listener.server_close()
    structlog.reset_defaults()
    # pytest shows the output of a test that failed.
    sys.stdout.write(log.getvalue())


def _add_workspace(caller_request: CallerRequest) -> CallerRequest:
    workspace = Workspace(name='hot', rate_per_s=1)
    return attrs.evolve(caller_request, workspace=workspace)


class TestRefusals:
    """Requests that are not sent to a backend server."""

    def test_no_configuration_yet(self, daemon: Daemon) -> None:
        """The refusal has a retry time and a log line with the request id."""
        status, headers, _ = daemon.send_request()
        assert (status, headers['Retry-After']) == (503, '0.300')
        line = daemon.log_lines()[-1]
        assert line['event'] == 'request_refused'
        assert line['request'] == '9c41d07be2a35f68'

    def test_no_route(self, daemon: Daemon) -> None:
        """A request without a route is refused with 404."""
        daemon.configure(route(Prefix='/notices/'))
        assert daemon.send_request()[0] == 404

    def test_unknown_key(self, daemon: Daemon) -> None:
        """Only a request with a known key runs; no key is in the log."""
        key = ('X-Api-Key', 'hz6prvnzqjynjcfv8nmp')
        tenants = [{'Name': 'kami770', 'ApiKeys': [key[1]]}]
        daemon.configure(route(), Tenants=tenants)
        daemon.add_server(b'whole', 'archive')
        known = environ()['headers_raw']
        assert daemon.send_request()[0] == 401
        assert daemon.send_request(headers_raw=(*known, key))[0] == 200
        daemon.configure(route(), Tenants=[{'Name': 'b'}], Version=8)
        assert daemon.send_request(headers_raw=(*known, key))[0] == 401
        assert key[1] not in daemon.log.getvalue()

    def test_no_server(self, daemon: Daemon) -> None:
        """A request is refused with 503 if no server is registered."""
        daemon.configure(route())
        status, headers, _ = daemon.send_request()
        assert (status, headers['Retry-After']) == (503, '0.367')

    def test_load_shedding(self, daemon: Daemon) -> None:
        """A shed request has its own retry time and the reason in the log.

        The time is below a third of the 2 s that the caller has left.
        """
        daemon.configure(route())
        daemon.add_server(b'whole', 'archive')
        assert daemon.send_request()[0] == 200
        blackboard = daemon.service.blackboard
        found = blackboard.table.routes[0]
        limits = daemon.service.face.limits
        for _ in range(20):
            limits.try_admit(found)
        limits.record_lag()
        status, headers, _ = daemon.send_request()
        assert (status, headers['Retry-After']) == (503, '0.645')
        _, others, _ = daemon.send_request(HTTP_X_REQUEST_ID='another')
        assert 0 < float(others['Retry-After']) < 2 / 3
        assert others['Retry-After'] != headers['Retry-After']
        line = daemon.log_lines()[-1]
        assert (line['event'], line['code']) == ('request_refused', 'shed')
        assert '20 requests are under way' in line['reason']
        for _ in range(20):
            limits.release(found)
        assert daemon.send_request()[0] == 200

    def test_unread_request(self, daemon: Daemon) -> None:
        """A request that ended early has a log line with the reason."""
        failure = not_run(FailureCode.BAD_REQUEST, 'the headers ended')
        daemon.service.face.report_unread_request(failure)
        line = daemon.log_lines()[-1]
        assert line['event'] == 'request_refused'
        assert (line['request'], line['code']) == (None, 'bad_request')
        assert line['reason'] == 'the headers ended'

    def test_stop_before_the_end(self, daemon: Daemon) -> None:
        """A request that the stop may cut is refused and does not run.

        Guards against a run that is aborted when the daemon exits.
        """
        daemon.configure(route(RouteType='unsafe', TimeoutMs=15_000))
        daemon.add_server(b'whole', 'archive')
        patient = {'HTTP_X_DEADLINE_MS': '15000'}
        daemon.service._stop._handle_signal(15, None)
        status, headers, _ = daemon.send_request(**patient)
        assert (status, headers['Retry-After']) == (503, '0.000')
        line = daemon.log_lines()[-1]
        assert (line['event'], line['code']) == ('request_refused', 'draining')
        assert 'the daemon stops in' in line['reason']
        # This request ends by its timeout before the daemon does.
        assert daemon.send_request()[0] == 200
        # Its response shows how long the runs of the route take.
        assert daemon.send_request(**patient)[0] == 200

    def test_hopeless_deadline(self, daemon: Daemon) -> None:
        """A request that cannot be answered in time is refused at once."""
        daemon.configure(route())
        daemon.add_server(b'whole', 'archive')
        status, headers, _ = daemon.send_request(HTTP_X_DEADLINE_MS='24')
        assert status == 503
        assert headers['Retry-After'] == '0.007'
        assert 'refused by deadline' in daemon.log_lines()[-1]['reason']

    def test_workspace_share(
        self, daemon: Daemon, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A workspace beyond its share is refused while others have room."""
        daemon.configure(route())
        daemon.add_server(b'whole', 'archive')
        read_request = PlatformCallers.read_request
        monkeypatch.setattr(
            PlatformCallers,
            'read_request',
            lambda *args: read_request(*args).map(_add_workspace),
        )
        blackboard = daemon.service.blackboard
        found = blackboard.table.routes[0]
        limits = daemon.service.face.limits
        for _ in range(20):
            limits.try_admit(found)
        limits.record_lag()
        for _ in range(20):
            limits.release(found)
        limits.for_route(found).record_end(100_000, 0, served=False)
        statuses = {daemon.send_request()[0] for _ in range(20)}
        assert statuses == {200, 503}
        reasons = [line.get('reason', '') for line in daemon.log_lines()]
        assert any('workspace_share' in reason for reason in reasons)


class TestWorkspaces:
    """Requests of workspaces in logs and counts."""

    def test_names_and_counts(self, daemon: Daemon) -> None:
        """Each line names the workspace, and no line contains a key."""
        daemon.configure(route(), Tenants=[{'Name': 'lab', 'ApiKeys': ['k7']}])
        headers_raw = (*environ()['headers_raw'], ('X-Api-Key', 'k7'))
        assert daemon.send_request(headers_raw=headers_raw)[0] == 503
        daemon.add_server(b'whole', 'archive')
        for _ in range(2):
            assert daemon.send_request(headers_raw=headers_raw)[0] == 200
        assert daemon.send_request()[0] == 401
        lines = daemon.log_lines()
        ended = [each for each in lines if each['event'] == 'request_ended']
        assert {each['workspace'] for each in ended} == {'lab'}
        assert lines[-1]['event'] == 'request_refused'
        assert (lines[-1]['workspace'], lines[-1]['code']) == (
            '',
            'unknown_key',
        )
        assert 'k7' not in daemon.log.getvalue()
        reporter = daemon.service.face._attempt_parts.reporter
        counts = reporter._metrics.workspaces
        assert counts.of('lab') == {'answered': 2, 'no_server': 1}
        assert counts.of('') == {'unknown_key': 1}

    def test_quota(self, daemon: Daemon) -> None:
        """Each refusal for a quota is counted, and its line has the name."""
        limited = {'Name': 'lab', 'ApiKeys': ['k7'], 'RatePerS': 1, 'Burst': 1}
        daemon.configure(route(), Tenants=[limited])
        daemon.add_server(b'whole', 'archive')
        headers_raw = (*environ()['headers_raw'], ('X-Api-Key', 'k7'))
        statuses = [
            daemon.send_request(headers_raw=headers_raw)[0] for _ in range(20)
        ]
        reporter = daemon.service.face._attempt_parts.reporter
        counted = reporter._metrics.workspaces.of('lab')
        assert statuses.count(429) > 0
        assert counted['quota'] == statuses.count(429)
        refused = [line for line in daemon.log_lines() if 'code' in line]
        assert {line['workspace'] for line in refused} == {'lab'}


class TestAnswers:
    """Requests that backend servers respond to."""

    def test_forwarded(self, daemon: Daemon) -> None:
        """The response of the server is forwarded unchanged."""
        daemon.configure(route())
        daemon.add_server(b'whole', 'archive')
        status, headers, body = daemon.send_request()
        assert (status, body) == (200, b'whole')
        assert headers['X-Server-Stamp'] == 's'

    def test_merged(self, daemon: Daemon) -> None:
        """The greatest records of all services are merged."""
        daemon.configure(_fan_out_route('a', 'b'))
        daemon.add_server(b'1' * 16, 'a')
        daemon.add_server(b'2' * 16, 'b')
        status, headers, body = daemon.send_request()
        assert (status, body) == (200, b'2' * 16 + b'1' * 16)
        assert headers['X-Parts-Missing'] == '0'

    def test_partial(self, daemon: Daemon) -> None:
        """An answer without one service is marked as partial."""
        daemon.configure(_fan_out_route('a', 'b'))
        daemon.add_server(b'1' * 16, 'a')
        _, headers, body = daemon.send_request()
        assert (headers['X-Parts-Missing'], body) == ('1', b'1' * 16)
        line = daemon.log_lines()[-1]
        assert line['answer'] == 'partial'
        assert line['version'] == 7

    def test_defect(self, daemon: Daemon) -> None:
        """An internal error is logged; the request may have run."""
        daemon.service.blackboard.table = attrs.make_class('Broken', ())()
        assert daemon.send_request()[0] == 502
        assert daemon.log_lines()[-1]['event'] == 'defect'


class TestFailuresOfServers:
    """Signed responses that are no success.

    Guards against a failure that counts as a part, and against a promise of no
    run that the backend server did not give.
    """

    @pytest.mark.parametrize('status', [302, 404, 409, 429, 500, 503, 504])
    def test_failure_is_no_part(self, daemon: Daemon, status: int) -> None:
        """A merged answer lacks the part of a server that failed."""
        daemon.configure(_fan_out_route('a', 'b'))
        daemon.add_server(b'9' * 16, 'a', status)
        daemon.add_server(b'2' * 16, 'b')
        answered, headers, body = daemon.send_request()
        assert (answered, body) == (200, b'2' * 16)
        assert headers['X-Parts-Missing'] == '1'

    @pytest.mark.parametrize('route_type', ['safe', 'unsafe'])
    @pytest.mark.parametrize(
        ('status', 'answered'),
        [
            (200, 200),
            (302, 302),
            (404, 404),
            (500, 500),
            (504, 504),
            (408, 502),
            (429, 502),
            (503, 502),
        ],
    )
    def test_whole_answer(
        self, daemon: Daemon, status: int, answered: int, route_type: str
    ) -> None:
        """Only a status that promises no run is replaced."""
        daemon.configure(route(RouteType=route_type))
        daemon.add_server(b'failed', 'archive', status)
        replied, headers, _ = daemon.send_request()
        assert replied == answered
        assert ('X-Server-Stamp' in headers) is (status == answered)


class TestTruncatedResponses:
    """Responses that end within their headers, after the signature.

    Guards against a merged answer that lacks a part and reports none missing.
    """

    head = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: 3e1b\r\nContent-Length: 16\r\n'

    @pytest.mark.parametrize('end', [len(head), len(head) - 2, 38])
    def test_part_is_missing(self, daemon: Daemon, end: int) -> None:
        """The answer names the part as missing, without its signature."""
        daemon.configure(_fan_out_route('a', 'b'))
        daemon.add_server(b'2' * 16, 'b')
        with cutting_server() as truncating:
            truncating.response = self.head[:end]
            daemon.register(str(truncating.address), 'a')
            status, headers, body = daemon.send_request()
        assert (status, body) == (200, b'2' * 16)
        assert headers['X-Parts-Missing'] == '1'
        assert headers['X-Part-Stamps'] == 's'
        assert 'IncompleteMessage' in daemon.log.getvalue()

    def test_part_is_requested_elsewhere(self, daemon: Daemon) -> None:
        """Another server of the service completes the answer."""
        daemon.configure(_fan_out_route('a', 'b'))
        daemon.add_server(b'2' * 16, 'b')
        daemon.add_server(b'1' * 16, 'a')
        # The retry budget is a share of earlier requests.
        for _ in range(20):
            daemon.send_request()
        with cutting_server() as truncating:
            truncating.response = self.head
            daemon.register(str(truncating.address), 'a')
            answers = [daemon.send_request() for _ in range(8)]
        whole = {(status, body) for status, _, body in answers}
        assert whole == {(200, b'2' * 16 + b'1' * 16)}
        assert 'IncompleteMessage' in daemon.log.getvalue()

    @pytest.mark.parametrize('status', [b'200 OK', b'503 Busy'])
    def test_non_idempotent_request_may_have_run(
        self, daemon: Daemon, status: bytes
    ) -> None:
        """The caller gets neither a success nor a promise of no run."""
        daemon.configure(route(RouteType='unsafe'))
        with cutting_server() as truncating:
            truncating.response = (
                b'HTTP/1.1 %s\r\nX-Server-Stamp: 3\r\n' % status
            )
            daemon.register(str(truncating.address), 'archive')
            assert daemon.send_request()[0] == 502


class TestBodies:
    """Forwarding and refusal of request bodies."""

    def test_chunked(self, daemon: Daemon) -> None:
        """A chunked body is forwarded."""
        daemon.configure(route())
        daemon.add_server(b'whole', 'archive')
        status, _, _ = daemon.send_request(
            b'{}', HTTP_TRANSFER_ENCODING='chunked'
        )
        assert status == 200

    @pytest.mark.parametrize(
        ('length', 'body'),
        [('300000', b'x' * 300_000), ('9', b'short')],
    )
    def test_refused(self, daemon: Daemon, length: str, body: bytes) -> None:
        """A body that is too large or incomplete is refused."""
        daemon.configure(route())
        status, _, _ = daemon.send_request(body, CONTENT_LENGTH=length)
        assert status == 400
        assert daemon.log_lines()[-1]['code'] == 'bad_request'


class TestCallerWatch:
    """Detection of callers that disconnect during a request."""

    def setup_method(self) -> None:
        """Open the connection of a caller."""
        pair = socket.socketpair()
        self.near = pair[0]
        self.far = pair[1]
        self.disconnects: list[bool] = []

    def test_close(self) -> None:
        """The end of the connection is detected at once."""
        with self._watch_caller():
            self.far.close()
            sleep(_WAIT_S)
            assert self.disconnects == [True]

    def test_next_request(self) -> None:
        """A pipelined request does not count as a disconnect."""
        with self._watch_caller():
            self.far.sendall(b'GET')
            sleep(_WAIT_S)
        assert not self.disconnects
        assert self.near.recv(9) == b'GET'

    def test_after_the_request(self) -> None:
        """A disconnect after the request is not reported."""
        with self._watch_caller():
            sleep(_WAIT_S)
        self.far.close()
        sleep(_WAIT_S)
        assert not self.disconnects

    def _watch_caller(self) -> Any:
        watch = DisconnectWatch(connection=self.near)
        return watch.call_on_disconnect(lambda: self.disconnects.append(True))


class _FixedResponseHandler(BaseHTTPRequestHandler):
    """Responds to every request with the same body."""

    body = b''
    status = 200
    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        """Send a signed response."""
        self.send_response(self.status)
        self.send_header('X-Server-Stamp', 's')
        self.send_header('X-Request-Id', self.headers['X-Request-Id'])
        self.send_header('Content-Length', str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *arguments: Any) -> None:
        """Suppress the log output."""


def _fan_out_route(*services: str) -> dict[str, Any]:
    return route(
        Service=None,
        Gather=list(services),
        TopK=5,
        MinCoverage=0.5,
    )
