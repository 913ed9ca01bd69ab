"""A scripted key-value service and clients of it."""

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

CUT: Final = 'cut'
SILENT: Final = 'silent'
_SILENCE_S = 1


@attrs.frozen(kw_only=True)
class Scripted:
    """One answer; `CUT` closes the connection, `SILENT` keeps it waiting."""

    body: Any
    status: int = 200


@attrs.define(kw_only=True)
class ScriptedPlatform:
    """Answers calls in the order of its script, then cuts each.

    Attributes:
        address: where it listens.
        script: the answers that are left.
        paths: the calls that came.
    """

    address: str = ''
    script: list[Any]
    paths: list[str] = attrs.field(factory=list)

    def take(self, path: str) -> Any:
        """Note a call and give its answer."""
        self.paths.append(path)
        return self.script.pop(0) if self.script else CUT


@contextlib.contextmanager
def scripted_platform(*script: Any) -> Iterator[ScriptedPlatform]:
    """Serve a script on loopback."""
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
    """Give a loopback address that nobody listens on."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return f'127.0.0.1:{listener.getsockname()[1]}'


def shown_document(stored: StoredDocument) -> Scripted:
    """Script the answer to a read."""
    encoded = base64.b64encode(str(stored.raw).encode()).decode()
    entry = {'value': encoded, 'mod_revision': str(stored.revision)}
    return Scripted(body={'header': {}, 'kvs': [entry], 'count': '1'})


def swapped(*, succeeded: bool) -> Scripted:
    """Script the answer to a compare-and-swap."""
    body = {'header': {'revision': '9'}, 'succeeded': succeeded}
    return Scripted(body=body)


def key_value_settings(*endpoints: str) -> Settings:
    """Build settings that name these endpoints, with short timeouts."""
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


def key_value_calls(
    *endpoints: str,
    budget: TokenBucket | None = None,
    costs: list[ControlCost] | None = None,
) -> KeyValueHttp:
    """Build the calls of a daemon to these endpoints."""
    clock = system_clock()
    plenty = token_bucket(clock, per_second=1000, burst=1000)
    count_cost = [] if costs is None else costs
    return key_value_http(
        key_value_settings(*endpoints),
        budget or plenty,
        count_cost.append,
    )


def scripted_key(platform: ScriptedPlatform) -> ConfigKey:
    """Build the access to the configuration key of a scripted platform."""
    return ConfigKey(key='/config', http=key_value_calls(platform.address))


class _ScriptHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    platform: ScriptedPlatform

    def do_POST(self) -> None:
        """Answer from the script."""
        self.rfile.read(int(self.headers['Content-Length']))
        scripted = self.platform.take(self.path)
        if scripted == SILENT:
            threading.Event().wait(_SILENCE_S)
        if isinstance(scripted, Scripted):
            self._answer(scripted)
        else:
            self.close_connection = True

    def log_message(self, *args: Any) -> None:
        """Keep the tests' output clean."""

    def _answer(self, scripted: Scripted) -> None:
        body = scripted.body
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(scripted.status)
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)
