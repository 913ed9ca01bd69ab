"""Client and request builders for the stand-ins of the platform."""

import base64
import json
from collections.abc import Iterator
from typing import Any

import attrs
import urllib3

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process

_WATCH_TIMEOUT_S = 10


def encode_base64(raw: str) -> str:
    """Encode a key or a value as base64."""
    return base64.b64encode(raw.encode()).decode()


def build_put(key: str, value: str, lease: str = '0') -> dict[str, Any]:
    """Build a put request."""
    return {
        'key': encode_base64(key),
        'value': encode_base64(value),
        'lease': lease,
    }


def build_compare_and_swap(
    key: str, mod_revision: int, value: str
) -> dict[str, Any]:
    """Build a compare-and-swap on the modification revision of a key."""
    compare = {
        'target': 'MOD',
        'result': 'EQUAL',
        'key': encode_base64(key),
        'mod_revision': str(mod_revision),
    }
    return {
        'compare': [compare],
        'success': [{'request_put': build_put(key, value)}],
        'failure': [{'request_range': {'key': encode_base64(key)}}],
    }


@attrs.frozen(kw_only=True)
class KeyValueClient:
    """HTTP client of one key-value stand-in."""

    process: Process

    @property
    def address(self) -> str:
        """Address of the stand-in."""
        return self.process.ready['address']

    def call(self, path: str, body: dict[str, Any]) -> http.HttpResponse:
        """Send one request."""
        return http.post(self.address, path, body)

    def put(self, key: str, value: str, lease: str = '0') -> http.HttpResponse:
        """Write one key."""
        return self.call('/v3/kv/put', build_put(key, value, lease))

    def read_values(self, key: str, range_end: str = '') -> list[str]:
        """Return the values of a key or of a range."""
        body = {
            'key': encode_base64(key),
            'range_end': encode_base64(range_end),
        }
        found = self.call('/v3/kv/range', body).body.get('kvs', [])
        return [base64.b64decode(each['value']).decode() for each in found]

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the stand-in."""
        assert self.call('/control/faults', faults).is_success

    def fetch_call_log(self) -> dict[str, Any]:
        """Fetch the call log."""
        return http.get(self.address, '/control/log').body

    def open_watch(self, key: str, start_revision: int = 0) -> 'WatchReader':
        """Open a watch on one key."""
        reply = urllib3.PoolManager(retries=False).request(
            'POST',
            f'http://{self.address}/v3/watch',
            json={
                'create_request': {
                    'key': encode_base64(key),
                    'start_revision': str(start_revision),
                },
            },
            preload_content=False,
            timeout=_WATCH_TIMEOUT_S,
        )
        return WatchReader(reply=reply, messages=_decode_messages(reply))


@attrs.frozen(kw_only=True)
class WatchReader:
    """Reader of the messages of one watch."""

    reply: urllib3.BaseHTTPResponse
    messages: Iterator[dict[str, Any]]

    def read_message(self) -> dict[str, Any]:
        """Return the next message, and wait until it arrives."""
        return next(self.messages)['result']

    def close(self) -> None:
        """Close the connection."""
        self.reply.close()


def _decode_messages(
    reply: urllib3.BaseHTTPResponse,
) -> Iterator[dict[str, Any]]:
    for chunk in reply.read_chunked():
        for line in chunk.splitlines():
            yield json.loads(line)
