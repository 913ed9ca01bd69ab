"""Malformed answers of backend servers to a real daemon.

Guards against a malformed response that reaches a caller, alone or merged with
others, and against a wrong answer to the next request.
"""

import json
import os
import random
import re
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack

import attrs
import pytest
from daemon_builders_prepared import (
    REQUEST_ID,
    PreparedServer,
    heads_with_replaced_byte,
    prepared_server,
)
from daemon_builders_response_forms import (
    BODY,
    MALFORMED,
    SIGNATURE_FORMS,
    UNUSUAL,
    VALID,
)
from daemon_builders_strict import (
    Malformed,
    StrictResponse,
    Unfinished,
    read_strictly,
)
from platform_builders import registration

from fennelfork_bench.rig._process import Rig, rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet
from fennelfork_platform_bench._store_client import HOST, SHARDS

# By hand, further seeds draw other replaced bytes.
_SEEDS = [7, 12, *map(int, os.environ.get('MALFORMED_SEEDS', '').split())]
_DRAWN = 60
_DAEMON = 'vm-0'
_FAULTY = 'shard-c'
_STAMP = b'stamp-faulty'
# One entry of a list that is separated by commas.
_SIGNATURE = re.compile(rb'[!-+\--~]+')
_VALID_STAMPS = {b'stamp-shard-a', b'stamp-shard-b'}
_TIMEOUT_S = 9
# Half of the deadline of the requests.
_MAX_REFUSAL_S = 1.0
_REFUSED = {502, 503}
_MAX_LOG_WAIT_S = 5
_RECORD_BYTES = 16
# Bytes of an answer that must not be logged.
_MARKER = b'7f3a91c2d4'
# `TopK` of the route that merges responses.
_TOP_K = 5
# Statuses that a backend server may not send without a further header.
_PROMISES = {408, 421, 429, 503}
_ROUTES = pytest.mark.parametrize('prefix', ['/one/', '/once/'])


@attrs.define(kw_only=True)
class Caller:
    """Caller that keeps its connection to the daemon."""

    fleet: PlatformFleet
    servers: dict[str, PreparedServer]
    _connection: socket.socket | None = None
    _sent: int = 0

    def ask(self, prefix: str, response: bytes) -> StrictResponse:
        """Send a request for a response and return the answer."""
        self._sent += 1
        name = f'case-{self._sent}'
        for service in ('archive', _FAULTY):
            self.servers[service].responses[name] = response
        request = (
            f'GET {prefix}{name} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {name}\r\nX-Deadline-Ms: 2000\r\n\r\n'
        )
        began_s = time.monotonic()
        answer = self._exchange(request.encode())
        assert time.monotonic() - began_s < _MAX_REFUSAL_S, response
        return answer

    def count_attempts(self) -> int:
        """Return how often the last request reached the single server."""
        return self.servers['archive'].requests.count(f'case-{self._sent}')

    def expected(self, response: bytes) -> StrictResponse | None:
        """Return the last response, or none if RFC 9112 does not permit it."""
        request_id = f'case-{self._sent}'.encode()
        sent = response.replace(REQUEST_ID, request_id)
        try:
            read = read_strictly(sent, is_closed=True)
        except (Malformed, Unfinished):
            return None
        ids = read.field(b'x-request-id')[:1]
        return read if ids in ([], [request_id]) else None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _exchange(self, request: bytes) -> StrictResponse:
        if self._connection is None:
            addresses = self.fleet.addresses[_DAEMON]
            host, _, port = addresses.front.rpartition(':')
            self._connection = socket.create_connection(
                (host, int(port)), timeout=_TIMEOUT_S
            )
        self._connection.sendall(request)
        received = b''
        while chunk := self._connection.recv(65_536):
            received += chunk
            try:
                answer = read_strictly(received, is_closed=False)
            except Unfinished:
                continue
            assert not answer.rest
            if answer.ends_connection:
                self.close()
            return answer
        raise AssertionError(f'the daemon closed after {received!r}')


@pytest.fixture(scope='module')
def caller() -> Iterator[Caller]:
    """Start a store, a daemon and one backend server for each service."""
    with rig() as processes, ExitStack() as stack:
        fleet = _start_store(processes)
        servers = {}
        for service in (*SHARDS, 'archive'):
            valid = VALID['length']
            if service in SHARDS and service != _FAULTY:
                valid = _valid_part(service)
            servers[service] = stack.enter_context(prepared_server(valid))
            entry = registration(
                Service=service,
                Address=str(servers[service].address),
                Zone=ZONES[0],
            )
            fleet.store_client.write_key(
                f'servers/i-{service}', json.dumps(entry).encode()
            )
        fleet.start_daemon(_DAEMON, ZONES[0])
        await_ready(fleet, _DAEMON)
        running = Caller(fleet=fleet, servers=servers)
        yield running
        running.close()


def _start_store(processes: Rig) -> PlatformFleet:
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    fleet = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    fleet.configure(1)
    return fleet


def _valid_part(service: str) -> bytes:
    stamp = f'stamp-{service}'.encode()
    return VALID['length'].replace(_STAMP, stamp)


def _drawn(name: str, seed: int) -> list[bytes]:
    """Draw responses with one replaced byte in the head."""
    heads = list(heads_with_replaced_byte(VALID[name]))
    return random.Random(seed).sample(heads, _DRAWN)


def _check_single(caller: Caller, prefix: str, response: bytes) -> None:
    """Check the answer to one request and to the next request."""
    answer = caller.ask(prefix, response)
    if prefix == '/once/':
        assert caller.count_attempts() == 1, response
    expected = caller.expected(response)
    if expected is None or not _is_valid(expected):
        assert answer.status in _REFUSED, (response, answer)
        assert not answer.field(b'x-server-stamp')
        assert b'records' not in answer.body
    else:
        assert (answer.status, answer.body) == (expected.status, expected.body)
        assert answer.field(b'x-server-stamp') == [_stamp(expected)]
    valid = caller.ask(prefix, VALID['length'])
    assert (valid.status, valid.body) == (200, BODY)


def _is_valid(response: StrictResponse) -> bool:
    """Whether a valid response is one that a backend server may send."""
    return (
        _SIGNATURE.fullmatch(_stamp(response)) is not None
        and response.status not in _PROMISES
        and not response.field(b'content-encoding')
    )


def _stamp(response: StrictResponse) -> bytes:
    """Return the signature of a response, empty if it has none."""
    return next(iter(response.field(b'x-server-stamp')), b'')


def _check_merged(caller: Caller, response: bytes) -> None:
    """Check the merged answer to one request and to the next request."""
    answer = caller.ask('/all/', response)
    expected = caller.expected(response)
    is_part = (
        expected is not None
        and _is_valid(expected)
        and 200 <= expected.status < 300
    )
    stamps = _VALID_STAMPS
    records = [BODY, BODY]
    if is_part:
        stamps = _VALID_STAMPS | {_stamp(expected)}
        records += _whole_records(expected.body)
    named = b', '.join(answer.field(b'x-part-stamps')).split(b', ')
    missing = str(len(SHARDS) - len(stamps)).encode()
    assert answer.status == 200
    assert set(named) == stamps
    assert answer.field(b'x-parts-missing') == [missing]
    assert answer.body == b''.join(sorted(records, reverse=True)[:_TOP_K])
    valid = caller.ask('/all/', VALID['length'])
    assert valid.body == BODY * 3


def _whole_records(body: bytes) -> list[bytes]:
    """Return the records of a part; a shorter remainder is no record."""
    return [
        body[start : start + _RECORD_BYTES]
        for start in range(0, len(body) - _RECORD_BYTES + 1, _RECORD_BYTES)
    ]


@pytest.mark.process
@_ROUTES
@pytest.mark.parametrize('form', sorted(MALFORMED))
def test_malformed_answer(caller: Caller, prefix: str, form: str) -> None:
    """The caller gets a refusal at once, and then the right answer."""
    _check_single(caller, prefix, MALFORMED[form])


@pytest.mark.process
@pytest.mark.parametrize('form', sorted(MALFORMED))
def test_malformed_part(caller: Caller, form: str) -> None:
    """The part is missing from the merged answer."""
    _check_merged(caller, MALFORMED[form])


@pytest.mark.process
@pytest.mark.parametrize('form', sorted(UNUSUAL | VALID))
def test_unusual_answer(caller: Caller, form: str) -> None:
    """The answer of a healthy server reaches the caller unchanged."""
    response = (UNUSUAL | VALID)[form]
    _check_single(caller, '/one/', response)
    _check_single(caller, '/once/', response)
    _check_merged(caller, response)


@pytest.mark.process
@pytest.mark.parametrize(
    ('line', 'rule'),
    [
        (b'Content-Length: %s', 'Content-Length is not a number of bytes'),
        (b'%s', 'a field line has no colon'),
        (b'X %s: 1', 'the name of a field is not a token'),
        (b'X: %s\x01', 'the value of a field has a control character'),
    ],
)
def test_log_names_the_rule(caller: Caller, line: bytes, rule: str) -> None:
    """The log tells why an answer was refused, without its bytes.

    Lines of one event have a rate limit, so the request is sent again while the
    requests of other tests use the limit up.
    """
    log = caller.fleet.logs[0]
    known = len(log.read_bytes())
    malformed = VALID['length'].replace(b'Content-Length: 16', line % _MARKER)
    wait_until(
        lambda: (
            caller.ask('/once/', malformed).status != 502
            or rule.encode() in log.read_bytes()[known:]
        ),
        _MAX_LOG_WAIT_S,
        rule,
    )
    assert rule.encode() in log.read_bytes()[known:]
    assert _MARKER not in log.read_bytes()


@pytest.mark.process
@pytest.mark.parametrize('form', sorted(SIGNATURE_FORMS))
def test_malformed_signature(caller: Caller, form: str) -> None:
    """A response whose signature is no entry of a list is refused."""
    response = SIGNATURE_FORMS[form]
    _check_single(caller, '/one/', response)
    _check_single(caller, '/once/', response)
    _check_merged(caller, response)


@pytest.mark.process
@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('form', sorted(VALID))
def test_replaced_bytes(caller: Caller, form: str, seed: int) -> None:
    """A response with a replaced byte is forwarded if it is valid, else refused."""
    for response in _drawn(form, seed):
        _check_single(caller, '/one/', response)
        _check_single(caller, '/once/', response)
        _check_merged(caller, response)
