"""Builders of settings and WSGI requests."""

import copy
import io
from typing import Any

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
    """Build a valid settings document with some tables changed.

    Args:
        changes: by table, the values to set; None takes a value out.
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
