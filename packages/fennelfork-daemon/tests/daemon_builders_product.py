"""Builders of settings, configurations and WSGI requests."""

import copy
import io
import json
from typing import Any

from returns.pipeline import is_successful

from fennelfork.config import Document, Front, Tenant, TrafficClass
from fennelfork_daemon.http._problem import problem_reply
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY
from fennelfork_daemon.http._wsgi_request import BodyLimits, read_json_object

LARGE_BYTES = 32_000_000
_DOCUMENT = {
    'daemon': {
        'name': 'vm-1',
        'region': 'region-1',
        'data_centre': 'dc-1',
    },
    'listen': {
        'caller': '127.0.0.1:0',
        'operator': '127.0.0.1:0',
        'peer': '127.0.0.1:0',
    },
    'platform': {
        'key_value': ['127.0.0.1:2379'],
        'vm_list': '127.0.0.1:2380',
    },
}


def settings_document(**changes: dict[str, Any]) -> dict[str, Any]:
    """Build a valid settings document with changed values.

    Args:
        changes: values to set, by table; None removes a value.
    """
    document = copy.deepcopy(_DOCUMENT)
    for table, values in changes.items():
        merged = document.get(table, {}) | values
        document[table] = {
            name: value for name, value in merged.items() if value is not None
        }
    return document


def wsgi_post(body: bytes, **changes: Any) -> dict[str, Any]:
    """Build the environment of a POST request."""
    environ = {
        'REQUEST_METHOD': 'POST',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
    }
    return environ | changes


def echo_application(environ: dict[str, Any], start_response: Any) -> Any:
    """Answer a POST with the JSON object of the body, or a refusal."""
    limits = BodyLimits(body_bytes=2048, read_ms=100)
    return json_answer(
        read_json_object(environ, limits),
        environ,
        start_response,
    )


def large_application(
    environ: dict[str, Any],
    start_response: Any,
) -> list[bytes]:
    """Answer with a body that exceeds all socket buffers."""
    start_response('200 OK', [('Content-Type', 'application/json')])
    return [b' ' * LARGE_BYTES]


def json_answer(
    result: Any,
    environ: dict[str, Any],
    start_response: Any,
) -> list[bytes]:
    """Answer with a JSON object that was read, or with a refusal."""
    if is_successful(result):
        start_response('200 OK', [('Content-Type', 'application/json')])
        return [json.dumps(result.unwrap()).encode()]
    refusal = result.failure()
    if refusal.close:
        environ[CLOSE_KEY]()
    reply = problem_reply(refusal.failure, None, status=refusal.status)
    start_response(reply.status_line, list(reply.headers))
    return [reply.body]


def labelled_document(
    fronts: tuple[str, ...],
    tenants: tuple[str, ...],
) -> Document:
    """Build a configuration with these front and tenant names."""
    front = Front(keys=10, shards={})
    return Document(
        version=3,
        fronts=dict.fromkeys(fronts, front),
        tenants=dict.fromkeys(tenants, Tenant(weight=1)),
        classes={'counter': TrafficClass(weight=1)},
    )


def settings_toml(caller: str = '127.0.0.1:0') -> str:
    """Return TOML settings with an unreachable platform."""
    return '\n'.join(
        (
            '[daemon]',
            'name = "vm-1"',
            'region = "region-1"',
            'data_centre = "dc-1"',
            '[listen]',
            f'caller = "{caller}"',
            'operator = "127.0.0.1:0"',
            'peer = "127.0.0.1:0"',
            '[platform]',
            'key_value = ["127.0.0.1:1"]',
            'vm_list = "127.0.0.1:1"',
        ),
    )
