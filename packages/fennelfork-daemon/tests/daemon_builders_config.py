"""Scripted key-value service and clients of the service."""

import base64
import contextlib
import json
import socket
import threading
from collections.abc import Iterator

# Not `from http import server`: see test_sources.py.
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final

import attrs

from fennelfork import system_clock
from fennelfork.config import StoredDocument, TokenBucket, token_bucket
from fennelfork_daemon._address import address
from fennelfork_daemon.kv._client import ConfigKey
from fennelfork_daemon.kv._http import KeyValueHttp, key_value_http
from fennelfork_daemon.metrics._metrics import ControlCost
from fennelfork_daemon.settings._tables import (
    DaemonSettings,
    ListenSettings,
    PlatformSettings,
    Settings,
    TimeoutSettings,
)

CLOSE_CONNECTION: Final = 'cut'
NO_RESPONSE: Final = 'silent'
_NO_RESPONSE_S = 1


@attrs.frozen(kw_only=True)
class ScriptedResponse:
    """Response of the scripted platform.

    A script may also contain `CLOSE_CONNECTION`, which closes the connection,
    and `NO_RESPONSE`, which delays closing the connection.
    """

    body: Any
    status: int = 200


@attrs.define(kw_only=True)
class ScriptedPlatform:
    """Sends scripted responses in order, then closes each connection.

    Attributes:
        address: listening address of the platform.
        script: responses that are not yet sent.
        paths: URL paths of the requests that were received.
    """

    address: str = ''
    script: list[Any]
    paths: list[str] = attrs.field(factory=list)

    def next_response(self, path: str) -> Any:
        """Record a request and return the next scripted response."""
        self.paths.append(path)
        return self.script.pop(0) if self.script else CLOSE_CONNECTION


@contextlib.contextmanager
def scripted_platform(*script: Any) -> Iterator[ScriptedPlatform]:
    """Run a platform that serves a script on a loopback address."""
    platform = ScriptedPlatform(script=list(script))
    handler = type('_Handler', (_ScriptHandler,), {'platform': platform})
    server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
    server.daemon_threads = True
    platform.address = f'127.0.0.1:{server.server_port}'
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    with contextlib.closing(server.socket):
        yield platform
        server.shutdown()
        thread.join()


def unused_address() -> str:
    """Return a loopback address without a listener."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return f'127.0.0.1:{listener.getsockname()[1]}'


def read_response(stored: StoredDocument) -> ScriptedResponse:
    """Build the response to a read."""
    encoded = base64.b64encode(str(stored.raw).encode()).decode()
    entry = {'value': encoded, 'mod_revision': str(stored.revision)}
    return ScriptedResponse(body={'header': {}, 'kvs': [entry], 'count': '1'})


def write_response(*, succeeded: bool) -> ScriptedResponse:
    """Build the response to a conditional write."""
    body = {'header': {'revision': '9'}, 'succeeded': succeeded}
    return ScriptedResponse(body=body)


def key_value_settings(*endpoints: str) -> Settings:
    """Build settings with the given endpoints and short timeouts."""
    return Settings(
        daemon=DaemonSettings(name='vm', region='r', data_centre='dc'),
        listen=ListenSettings(
            caller=address('127.0.0.1:0'),
            operator=address('127.0.0.1:0'),
            peer=address('127.0.0.1:0'),
        ),
        platform=PlatformSettings(
            key_value=tuple(address(text) for text in endpoints),
            vm_list=address('127.0.0.1:1'),
        ),
        timeouts=TimeoutSettings(connect_ms=200, platform_ms=200),
    )


def key_value_client(
    *endpoints: str,
    budget: TokenBucket | None = None,
    costs: list[ControlCost] | None = None,
) -> KeyValueHttp:
    """Build a client of the given endpoints."""
    clock = system_clock()
    ample_budget = token_bucket(clock, per_second=1000, burst=1000)
    count_cost = [] if costs is None else costs
    return key_value_http(
        key_value_settings(*endpoints),
        budget or ample_budget,
        count_cost.append,
    )


def build_config_key(platform: ScriptedPlatform) -> ConfigKey:
    """Build a client of the configuration key of a scripted platform."""
    return ConfigKey(key='/config', http=key_value_client(platform.address))


class _ScriptHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    platform: ScriptedPlatform

    def do_POST(self) -> None:
        """Send the next scripted response."""
        self.rfile.read(int(self.headers['Content-Length']))
        response = self.platform.next_response(self.path)
        if response == NO_RESPONSE:
            threading.Event().wait(_NO_RESPONSE_S)
        if isinstance(response, ScriptedResponse):
            self._answer(response)
        else:
            self.close_connection = True

    def log_message(self, *args: Any) -> None:
        """Discard access log lines."""

    def _answer(self, response: ScriptedResponse) -> None:
        body = response.body
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(response.status)
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)
