"""Builders of requests to the platform's stand-ins."""

import base64
import json
from collections.abc import Iterator
from typing import Any

import attrs
import urllib3

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process

_WATCH_CAP_S = 10


def text(raw: str) -> str:
    """Write a key or a value as base64."""
    return base64.b64encode(raw.encode()).decode()


def put_body(key: str, value: str, lease: str = '0') -> dict[str, Any]:
    """Build a put request."""
    return {'key': text(key), 'value': text(value), 'lease': lease}


def swap_body(key: str, mod_revision: int, value: str) -> dict[str, Any]:
    """Build a compare-and-swap on the last revision of a key."""
    compare = {
        'target': 'MOD',
        'result': 'EQUAL',
        'key': text(key),
        'mod_revision': str(mod_revision),
    }
    return {
        'compare': [compare],
        'success': [{'request_put': put_body(key, value)}],
        'failure': [{'request_range': {'key': text(key)}}],
    }


@attrs.frozen(kw_only=True)
class KeyValueClient:
    """Calls one key-value stand-in over the wire."""

    process: Process

    @property
    def address(self) -> str:
        """Where it listens."""
        return self.process.ready['address']

    def call(self, path: str, body: dict[str, Any]) -> http.HttpReply:
        """Make one call."""
        return http.post(self.address, path, body)

    def put(self, key: str, value: str, lease: str = '0') -> http.HttpReply:
        """Write one key."""
        return self.call('/v3/kv/put', put_body(key, value, lease))

    def values(self, key: str, range_end: str = '') -> list[str]:
        """Read the values of a key or a range."""
        body = {'key': text(key), 'range_end': text(range_end)}
        found = self.call('/v3/kv/range', body).body.get('kvs', [])
        return [base64.b64decode(each['value']).decode() for each in found]

    def switch(self, **faults: Any) -> None:
        """Switch faults."""
        assert self.call('/control/faults', faults).fine

    def log(self) -> dict[str, Any]:
        """Read the call log."""
        return http.get(self.address, '/control/log').body

    def watch(self, key: str, start_revision: int = 0) -> 'WatchReader':
        """Open a watch on one key."""
        reply = urllib3.PoolManager(retries=False).request(
            'POST',
            f'http://{self.address}/v3/watch',
            json={
                'create_request': {
                    'key': text(key),
                    'start_revision': str(start_revision),
                },
            },
            preload_content=False,
            timeout=_WATCH_CAP_S,
        )
        return WatchReader(reply=reply, lines=_lines(reply))


@attrs.frozen(kw_only=True)
class WatchReader:
    """Reads the messages of one watch."""

    reply: urllib3.BaseHTTPResponse
    lines: Iterator[dict[str, Any]]

    def next(self) -> dict[str, Any]:
        """Wait for the next message."""
        return next(self.lines)['result']

    def close(self) -> None:
        """Drop the connection."""
        self.reply.close()


def _lines(reply: urllib3.BaseHTTPResponse) -> Iterator[dict[str, Any]]:
    for chunk in reply.read_chunked():
        for line in chunk.splitlines():
            yield json.loads(line)
