"""Builders of platform entries, requests and responses for tests."""

import base64
import json
from typing import Any

from fennelfork_daemon.backend._request import BackendResponse

LIMITS = {
    'MaxHeaderBytes': 16_384,
    'MaxBodyBytes': 262_144,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15_000,
}
SETTINGS = """
NodeName = "front-tulcea-1"
Zone = "tulcea"
Region = "delta"
Unknown = 7
[Zones]
tulcea = "delta"
[Listen]
Front = "10.0.0.1:8226"
Readiness = "10.0.0.1:8227"
directory = "10.0.0.1:8225"
[Bounds]
RetryBudget = 0.2
RetrySlack = 58
BudgetWindowS = 10
GraceS = 6
ttl_max_s = 5
ConfigApplyMs = 5000
DrainMs = 3000
[platform]
Address = "10.9.0.1:8229"
MinTtlMs = 1000
"""

# Changes that make the registration of a backend server invalid.
INVALID_FIELDS = (
    {'Service': 7},
    {'Service': ''},
    {'Service': ['archive']},
    {'Address': 'nowhere'},
    {'Address': '10.1.0.9'},
    {'Address': '10.1.0.9:0'},
    {'Address': '10.1.0.9:70000'},
    {'Address': 10},
    {'Zone': 3},
    {'Zone': None},
    {'Version': 1},
    {'Slots': '5'},
    {'Slots': True},
    {'Slots': False},
    {'Slots': 0},
    {'Slots': -1},
    {'Slots': 2.5},
    {'Slots': 10**30},
    {'State': 'sleeping'},
    {'State': True},
    {'State': None},
    {'WarmupLeftMs': 'soon'},
    {'WarmupLeftMs': -1},
    {'WarmupLeftMs': 10**400},
    {'WarmupLeftMs': float('nan')},
    {'SeqNo': '4'},
    {'SeqNo': False},
    {'born': '1000'},
    {'born': True},
    {'born': 1000.5},
    {'born': None},
    {'born': -1},
)
INVALID_BYTES = (
    b'',
    b'\xff\xfe\x00',
    b'not JSON',
    b'[' * 100_000,
    b'{"Service":' * 2000,
    b'[1, 2]',
    b'"text"',
    b'null',
    b'{}',
    b'{"Service": "%s"}' % (b'x' * 20_000),
)


def route(**changes: Any) -> dict[str, Any]:
    """Build the configuration of a route to one service."""
    fields = {
        'Name': 'r-1',
        'Host': 'rafts.example',
        'Prefix': '/rafts/',
        'RouteType': 'safe',
        'TimeoutMs': 4000,
        'LatencyGoalMs': 297,
        'Priority': 1,
        'MaxAttempts': 2,
        'Service': 'archive',
    }
    return fields | changes


def config(*routes: dict[str, Any], version: int = 7) -> dict[str, Any]:
    """Build a configuration of the operators."""
    return {
        'Version': version,
        'Routes': list(routes),
        'Services': [{'Name': 'archive', 'MaxConns': 41}],
        'Limits': LIMITS,
    }


def registration(**changes: Any) -> dict[str, Any]:
    """Build the registration of a backend server."""
    fields = {
        'Service': 'archive',
        'Address': '10.1.0.9:8080',
        'Zone': 'tulcea',
        'Version': 'v1',
        'Slots': 5,
        'State': 'ready',
        'WarmupLeftMs': 0,
        'SeqNo': 4,
    }
    return fields | changes


def item(key: str, tree: Any) -> dict[str, Any]:
    """Build an item of the store with a JSON value."""
    return raw_item(key, json.dumps(tree).encode())


def raw_item(key: str, raw: bytes, revision: int = 5) -> dict[str, Any]:
    """Build an item of the store from raw bytes."""
    return {
        'Key': key,
        'Value': base64.b64encode(raw).decode(),
        'Revision': revision,
        'CreatedRev': revision,
        'LeaseId': 0,
    }


def environ(**changes: Any) -> dict[str, Any]:
    """Build the WSGI environment of a caller's request."""
    fields: dict[str, Any] = {
        'REQUEST_METHOD': 'GET',
        'fennelfork.target': '/rafts/7?full=1',
        'HTTP_HOST': 'Rafts.example:80',
        'HTTP_X_REQUEST_ID': '9c41d07be2a35f68',
        'HTTP_X_DEADLINE_MS': '2000',
        'headers_raw': (
            ('Host', 'Rafts.example:80'),
            ('X-Request-Id', '9c41d07be2a35f68'),
            ('X-Deadline-Ms', '2000'),
            ('X-Expect-Instance', 'i-forged'),
            ('Connection', 'keep-alive, X-Hop'),
            ('X-Hop', '1'),
            ('Accept', 'a'),
            ('Accept', 'b'),
        ),
    }
    return fields | changes


def response(status: int = 200, **headers: str) -> BackendResponse:
    """Build a response; `_` in a header name stands for `-`."""
    pairs = tuple(
        (name.replace('_', '-'), text) for name, text in headers.items()
    )
    return BackendResponse(status=status, body=b'0123', headers=pairs)
